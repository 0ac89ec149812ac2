package peer

import (
	"bufio"
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/binary"
	"encoding/json"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/matryer/is"

	"github.com/agatestep/agatestep/internal/timeline"
)

// bound ends a call that should have ended by itself.
const bound = 20 * time.Second

// tap keeps the accepted connections, so that a test can break them.
type tap struct {
	net.Listener
	accepted chan net.Conn
}

func (l *tap) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		l.accepted <- conn
	}
	return conn, err
}

// echo starts a server with one method that returns its text and counts the calls.
func echo(t *testing.T, config *tls.Config) (l *tap, calls *atomic.Int32) {
	t.Helper()
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l, calls = &tap{Listener: raw, accepted: make(chan net.Conn, 100)}, new(atomic.Int32)
	s := NewServer(timeline.NewClock(time.Now))
	s.acceptTimeout = 10 * time.Millisecond
	if config != nil {
		s.acceptTimeout = bound
	}
	s.Register("echo", Handle(func(_ context.Context, text string) (string, error) {
		calls.Add(1)
		return text, nil
	}))
	s.Register("fail", Handle(func(context.Context, string) (string, error) { return "", errors.New("refused") }))
	go func() { _ = s.Serve(l, config) }()
	t.Cleanup(func() { _ = raw.Close(); s.Close() })
	return l, calls
}

func newClient(t *testing.T, config *tls.Config) *Client {
	c := NewClient(timeline.NewClock(time.Now), config)
	t.Cleanup(c.Close)
	return c
}

func call(c *Client, l net.Listener, method, text string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), bound)
	defer cancel()
	var out string
	err := c.Call(ctx, l.Addr().String(), method, text, &out)
	return out, err
}

// authority issues certificates into files.
type authority struct {
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	a := &authority{dir: t.TempDir()}
	a.issue(t, "ca", &x509.Certificate{IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign})
	return a
}

func (a *authority) issue(t *testing.T, name string, template *x509.Certificate) TLSFiles {
	is := is.New(t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	template.SerialNumber = big.NewInt(1)
	template.NotBefore, template.NotAfter = time.Now().Add(-time.Hour), time.Now().Add(time.Hour)
	if a.cert == nil {
		a.cert, a.key = template, key
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, a.cert, key.Public(), a.key)
	is.NoErr(err)
	private, err := x509.MarshalPKCS8PrivateKey(key)
	is.NoErr(err)
	files := TLSFiles{filepath.Join(a.dir, name+".pem"), filepath.Join(a.dir, name+".key"), filepath.Join(a.dir, "ca.pem")}
	is.NoErr(os.WriteFile(files.CertFile, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: raw}), 0o600))
	is.NoErr(os.WriteFile(files.KeyFile, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: private}), 0o600))
	return files
}

func (a *authority) identity(t *testing.T, ip string) (server, client *tls.Config) {
	files := a.issue(t, "host", &x509.Certificate{IPAddresses: []net.IP{net.ParseIP(ip)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}})
	server, client, err := LoadTLS(files)
	is.New(t).NoErr(err)
	return server, client
}

// Guards against a method that runs for a caller without a certificate of the
// authority, and against a daemon that speaks to a false host.
func TestMutualTLS(t *testing.T) {
	ours, foreign := newAuthority(t), newAuthority(t)
	server, client := ours.identity(t, "127.0.0.1")
	otherAddress, _ := ours.identity(t, "127.0.0.2")
	foreignServer, foreignClient := foreign.identity(t, "127.0.0.1")
	trusting := foreignClient.Clone()
	trusting.RootCAs = client.RootCAs
	anonymous := client.Clone()
	anonymous.Certificates = nil
	for _, c := range []struct {
		name           string
		server, client *tls.Config
		ok             bool
	}{
		{"same authority", server, client, true},
		{"certificate of a foreign authority", server, trusting, false},
		{"no certificate", server, anonymous, false},
		{"no TLS", server, nil, false},
		{"server of a foreign authority", foreignServer, client, false},
		{"server with the certificate of another address", otherAddress, client, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			l, calls := echo(t, c.server)
			got, err := call(newClient(t, c.client), l, "echo", "hello")
			is.Equal(err == nil, c.ok)
			is.Equal(got == "hello", c.ok)
			is.Equal(calls.Load() == 1, c.ok)
			is.True(!errors.Is(err, context.DeadlineExceeded)) // refused, not given up
		})
	}
	_, _, err := LoadTLS(TLSFiles{CertFile: "missing", KeyFile: "missing", CAFile: "missing"})
	is.New(t).True(strings.Contains(err.Error(), `certificate "missing"`))
}

// Guards against connections that hold a descriptor without a handshake.
func TestSilentHandshakeIsClosed(t *testing.T) {
	is := is.New(t)
	server, _ := newAuthority(t).identity(t, "127.0.0.1")
	s := NewServer(timeline.NewClock(time.Now))
	s.acceptTimeout = 10 * time.Millisecond
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	go func() { _ = s.Serve(l, server) }()
	is.Equal(closed(t, l, nil), io.EOF)
}

// closed writes to a new connection and returns how the server ends it.
func closed(t *testing.T, l net.Listener, data []byte) error {
	conn, err := net.Dial("tcp", l.Addr().String())
	is.New(t).NoErr(err)
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(bound))
	_, err = conn.Write(data)
	is.New(t).NoErr(err)
	_, err = conn.Read(make([]byte, 1))
	return err
}

// Guards against memory taken for a message of any claimed size, and against
// the first part of a message that the other side will refuse.
func TestMessageSizeLimit(t *testing.T) {
	is := is.New(t)
	l, _ := echo(t, nil)
	is.Equal(closed(t, l, binary.AppendUvarint(nil, MaxMessageBytes+1)), io.EOF)
	var out bytes.Buffer
	tooLarge := make([]byte, MaxMessageBytes/4*3) // in JSON a third larger, and quoted
	is.True(errors.Is(lengthCodec{}.WriteObject(&out, tooLarge), ErrMessageTooLarge))
	is.Equal(out.Len(), 0)
}

// Guards against a client that goes on using a broken connection.
func TestCallAfterBrokenConnection(t *testing.T) {
	is := is.New(t)
	l, _ := echo(t, nil)
	c := newClient(t, nil)
	for range 3 {
		_, err := call(c, l, "echo", "a")
		is.NoErr(err)
		_, err = call(c, l, "fail", "") // an answer: the connection stays
		is.True(err != nil)
		is.Equal(len(l.accepted), 1)
		_ = (<-l.accepted).Close()
		<-c.conns[l.Addr().String()].DisconnectNotify()
	}
}

// Guards against a call that waits on a peer that accepts and says nothing, and
// against the next call that waits on the same connection again.
func TestSilentPeer(t *testing.T) {
	is := is.New(t)
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer raw.Close()
	silent := &tap{Listener: raw, accepted: make(chan net.Conn, 10)}
	go func() {
		for err := error(nil); err == nil; _, err = silent.Accept() {
		}
	}()
	c := newClient(t, nil)
	for range 2 {
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
		err := c.Call(ctx, raw.Addr().String(), "echo", "a", new(string))
		cancel()
		is.True(errors.Is(err, context.DeadlineExceeded))
		conn := <-silent.accepted // each call has its own connection
		_ = conn.SetReadDeadline(time.Now().Add(bound))
		_, err = io.Copy(io.Discard, conn)
		is.NoErr(err) // the client closed it
	}
}

// Guards against frames that crash the reader or read back as something else.
func FuzzReadObject(f *testing.F) {
	for _, seed := range []string{"", "\x02{}", "\x02{", "\x04null", "\x05{}", "\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff",
		"\x80\x80\x80\x20", "\x13{\"clock\":1,\"body\":2}"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var first, second json.RawMessage
		if (lengthCodec{}).ReadObject(bufio.NewReader(bytes.NewReader(data)), &first) != nil {
			return
		}
		var out bytes.Buffer
		is := is.New(t)
		is.NoErr(lengthCodec{}.WriteObject(&out, first))
		is.NoErr(lengthCodec{}.ReadObject(bufio.NewReader(&out), &second))
		again, err := json.Marshal(first)
		is.NoErr(err)
		is.Equal(string(second), string(again))
	})
}
