package httpanswer

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/http/httptrace"
)

// Conn is a connection on which answers are checked.
type Conn struct {
	net.Conn
	answers *Reader
}

// NewConn returns c with its answers checked. The caller states the method of each request
// with BeginAnswer.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c, answers: NewReader(c)} }

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) { return c.answers.Read(p) }

// BeginAnswer declares that the next answer is for a request with this method.
func (c *Conn) BeginAnswer(method string) { c.answers.Begin(method) }

// Transport is an http.Transport that checks the answers on its connections. Its DialContext
// must return connections that embed a *Conn.
type Transport struct{ *http.Transport }

// NewTransport returns a transport over TCP, or over TLS for URLs with the scheme https.
func NewTransport(config *tls.Config) *Transport {
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(c), nil
	}
	dialTLS := func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := (&tls.Dialer{Config: config}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(c), nil
	}
	return &Transport{&http.Transport{DialContext: dial, DialTLSContext: dialTLS, TLSClientConfig: config}}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(interface{ BeginAnswer(method string) }); ok {
			c.BeginAnswer(req.Method)
		}
	}}
	return t.Transport.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
}
