package admin

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/agatestep/agatestep/internal/verdict"
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

// ErrNotReached reports that no connection to a daemon was obtained, so that
// the request certainly did not run.
var ErrNotReached = errors.ConstError("daemon not reached")

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
	var worst error
	for _, address := range c.addresses {
		err := c.once(ctx, method, address, path, raw, result)
		var remote *RemoteError
		if err == nil || (errors.As(err, &remote) && remote.Status < http.StatusInternalServerError) {
			return err
		}
		// Once an attempt may have run, a later one that did not proves nothing.
		if worst == nil || NotRun(worst) {
			worst = err
		}
	}
	if worst == nil {
		return errors.WithType(errors.New("no administration address was given"), ErrNotReached)
	}
	return worst
}

// NotRun reports whether an error of a Client proves that the request changed nothing.
func NotRun(err error) bool {
	var remote *RemoteError
	if errors.As(err, &remote) {
		return remote.Reply.Outcome == verdict.NotRun.String()
	}
	return errors.Is(err, ErrNotReached)
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
		return notReached(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return remoteError(address, response)
	}
	return errors.Annotatef(json.NewDecoder(response.Body).Decode(result), "answer of %s", url)
}

// notReached marks a failure to open the connection; after any other failure
// the request may have been sent.
func notReached(err error) error {
	var op *net.OpError
	var certificate *tls.CertificateVerificationError
	if (errors.As(err, &op) && op.Op == "dial") || errors.As(err, &certificate) {
		return errors.WithType(err, ErrNotReached)
	}
	return errors.Trace(err)
}

// maxErrorBytes bounds the body of a refusal; a refused publish lists every mistake.
const maxErrorBytes = 1 << 20

// remoteError reads a refusal. A body that is not JSON comes from something
// else than the API, such as a TLS listener that was sent plain HTTP; with a
// status below 500 it did not take the request.
func remoteError(address string, response *http.Response) *RemoteError {
	remote := &RemoteError{Address: address, Status: response.StatusCode}
	raw, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	if err := json.Unmarshal(raw, &remote.Reply); err == nil && remote.Reply.Outcome != "" {
		return remote
	}
	outcome := verdict.NotRun
	if response.StatusCode >= http.StatusInternalServerError {
		outcome = verdict.MayHaveRun
	}
	text := strings.TrimSpace(response.Status + " " + string(raw[:min(len(raw), 200)]))
	remote.Reply = ErrorReply{Error: text, Outcome: outcome.String()}
	return remote
}
