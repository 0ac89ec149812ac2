package admin

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/juju/errors"
)

// Client calls the administration API of any one of several daemons.
type Client struct {
	addresses []string
	token     string
	scheme    string
	http      *http.Client
}

// clientTimeout is longer than the longest wait that the API allows.
const clientTimeout = 75 * time.Second

// NewClient returns a client that tries the addresses in turn. A nil TLS
// configuration means plain HTTP.
func NewClient(addresses []string, token string, config *tls.Config) *Client {
	c := &Client{addresses: addresses, token: token, scheme: "http"}
	transport := &http.Transport{TLSClientConfig: config}
	if config != nil {
		c.scheme = "https"
	}
	c.http = &http.Client{Transport: transport, Timeout: clientTimeout}
	return c
}

// RemoteError is a refusal or failure that a daemon reported.
type RemoteError struct {
	Address string
	Status  int
	Reply   ErrorReply
}

// Error implements the error interface.
func (e *RemoteError) Error() string {
	text := fmt.Sprintf("%s: %s (%s)", e.Address, e.Reply.Error, e.Reply.Outcome)
	if len(e.Reply.Problems) > 0 {
		text += "\n  " + strings.Join(e.Reply.Problems, "\n  ")
	}
	return text
}

// Get reads a resource.
func (c *Client) Get(ctx context.Context, path string, result any) error {
	return c.try(ctx, http.MethodGet, path, nil, result)
}

// Post sends a request. It goes to the next address only when the one before
// could not be reached or could not serve it; requests carry an id, so sending
// one twice has the effect of sending it once.
func (c *Client) Post(ctx context.Context, path string, body, result any) error {
	return c.try(ctx, http.MethodPost, path, body, result)
}

func (c *Client) try(ctx context.Context, method, path string, body, result any) error {
	raw, err := json.Marshal(body)
	if err != nil {
		return errors.Trace(err)
	}
	var last error
	for _, address := range c.addresses {
		last = c.once(ctx, method, address, path, raw, result)
		var remote *RemoteError
		if last == nil || (errors.As(last, &remote) && remote.Status < http.StatusInternalServerError) {
			return last
		}
	}
	if last == nil {
		return errors.New("no administration address was given")
	}
	return last
}

func (c *Client) once(ctx context.Context, method, address, path string, body []byte, result any) error {
	url := c.scheme + "://" + address + path
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return errors.Trace(err)
	}
	request.Header.Set("Content-Type", "application/json")
	if c.token != "" {
		request.Header.Set("Authorization", "Bearer "+c.token)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return errors.Trace(err)
	}
	defer response.Body.Close()
	decoder := json.NewDecoder(response.Body)
	if response.StatusCode != http.StatusOK {
		remote := &RemoteError{Address: address, Status: response.StatusCode}
		if err := decoder.Decode(&remote.Reply); err != nil {
			remote.Reply = ErrorReply{Error: response.Status, Outcome: "may-have-run"}
		}
		return remote
	}
	return errors.Annotatef(decoder.Decode(result), "answer of %s", url)
}
