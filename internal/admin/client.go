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

	"github.com/agatestep/agatestep/internal/httpanswer"
	"github.com/agatestep/agatestep/internal/verdict"
)

// Client calls the administration API of the first daemon that can serve a request.
type Client struct {
	addresses []string
	token     string
	scheme    string
	http      *http.Client
}

// clientTimeout is longer than maxWaitMs, the longest wait that the API allows.
const clientTimeout = 75 * time.Second

// NewClient returns a client that tries the addresses, as IP:port, in turn. A nil
// TLS configuration means plain HTTP.
func NewClient(addresses []string, token string, config *tls.Config) *Client {
	c := &Client{addresses: addresses, token: token, scheme: "http"}
	transport := httpanswer.NewTransport(config)
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

// ErrUnreachable marks an error after which no connection to a daemon was
// established, so that the request certainly did not run.
var ErrUnreachable = errors.ConstError("daemon not reached")

// Get reads the resource at path into result. Its errors are those of Post.
func (c *Client) Get(ctx context.Context, path string, result any) error {
	return c.tryAddresses(ctx, http.MethodGet, path, nil, result)
}

// Post sends body to path and decodes the reply into result. It tries the next
// address only when the previous one was unreachable or failed with a status of
// 500 or above; requests carry an id, so sending one twice has the effect of
// sending it once. A reply with another status than 200 is a *RemoteError.
func (c *Client) Post(ctx context.Context, path string, body, result any) error {
	return c.tryAddresses(ctx, http.MethodPost, path, body, result)
}

func (c *Client) tryAddresses(ctx context.Context, method, path string, body, result any) error {
	raw, err := json.Marshal(body)
	if err != nil {
		return errors.Trace(err)
	}
	var reported error
	for _, address := range c.addresses {
		err := c.send(ctx, method, address, path, raw, result)
		var remote *RemoteError
		if err == nil || (errors.As(err, &remote) && remote.Status < http.StatusInternalServerError) {
			return err
		}
		// An attempt that may have run is reported even if a later one did not run.
		if reported == nil || DidNotRun(reported) {
			reported = err
		}
	}
	if reported == nil {
		return errors.WithType(errors.New("no administration address was given"), ErrUnreachable)
	}
	return reported
}

// DidNotRun reports whether an error of a Client proves that the request changed nothing.
func DidNotRun(err error) bool {
	var remote *RemoteError
	if errors.As(err, &remote) {
		return remote.Reply.Outcome == verdict.NotRun.String()
	}
	return errors.Is(err, ErrUnreachable)
}

func (c *Client) send(ctx context.Context, method, address, path string, body []byte, result any) error {
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
		return markConnectFailure(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return readRemoteError(address, response)
	}
	return errors.Annotatef(json.NewDecoder(response.Body).Decode(result), "answer of %s", url)
}

// markConnectFailure marks a failure to establish the connection with
// ErrUnreachable; after any other failure the request may have been sent.
func markConnectFailure(err error) error {
	var opError *net.OpError
	var certificate *tls.CertificateVerificationError
	if (errors.As(err, &opError) && opError.Op == "dial") || errors.As(err, &certificate) {
		return errors.WithType(err, ErrUnreachable)
	}
	return errors.Trace(err)
}

// maxErrorBytes bounds the body of an error reply; a refused publish lists every
// problem.
const maxErrorBytes = 1 << 20

// readRemoteError reads an error reply. A body that is not an ErrorReply does not
// come from the API but, for example, from a TLS listener that received plain
// HTTP; a status below 500 then means that the request did not run.
func readRemoteError(address string, response *http.Response) *RemoteError {
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
