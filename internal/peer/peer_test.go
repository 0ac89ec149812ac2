package peer

import (
	"bufio"
	"bytes"
	"context"
	"crypto/ed25519"
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
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/matryer/is"

	"github.com/agatestep/agatestep/internal/timeline"
)

// bound ends a call that should have ended by itself.
const bound = 20 * time.Second

// echo starts a server whose method echo returns its text.
func echo(t *testing.T, config *tls.Config, handshake time.Duration) (*Server, string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	s := NewServer(timeline.NewClock(time.Now))
	s.acceptTimeout = handshake
	s.Register("echo", Handle(func(_ context.Context, text string) (string, error) { return text, nil }))
	s.Register("fail", Handle(func(context.Context, string) (string, error) { return "", errors.New("refused") }))
	go func() { _ = s.Serve(l, config) }()
	t.Cleanup(func() { _ = l.Close(); s.Close() })
	return s, l.Addr().String()
}

func call(c *Client, address, method string, timeout time.Duration) (out string, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	err = c.Call(ctx, address, method, "hello", &out)
	return out, err
}

// identity returns the two sides of a host with an authority of its own.
func identity(t *testing.T, ip string) (server, client *tls.Config) {
	is, file := is.New(t), filepath.Join(t.TempDir(), "host")
	public, key, _ := ed25519.GenerateKey(rand.Reader)
	cert := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true,
		IPAddresses: []net.IP{net.ParseIP(ip)}, ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}}
	raw, err := x509.CreateCertificate(rand.Reader, cert, cert, public, key)
	is.NoErr(err)
	private, err := x509.MarshalPKCS8PrivateKey(key)
	is.NoErr(err)
	text := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: raw})
	is.NoErr(os.WriteFile(file, append(text, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: private})...), 0o600))
	server, client, err = LoadTLS(TLSFiles{CertFile: file, KeyFile: file, CAFile: file})
	is.NoErr(err)
	return server, client
}

// Guards against a method that runs for a caller without a certificate of the
// authority, and against a daemon that speaks to a false host.
func TestMutualTLS(t *testing.T) {
	server, client := identity(t, "127.0.0.1")
	foreignServer, foreignClient := identity(t, "127.0.0.1")
	otherServer, otherClient := identity(t, "127.0.0.2")
	anonymous := &tls.Config{RootCAs: client.RootCAs}
	foreignClient.RootCAs = client.RootCAs
	for name, c := range map[string]struct{ server, client *tls.Config }{
		"same authority":                   {server, client},
		"certificate of another":           {server, foreignClient},
		"no certificate":                   {server, anonymous},
		"no TLS":                           {server, nil},
		"server of another authority":      {foreignServer, client},
		"server with another's IP address": {otherServer, otherClient},
	} {
		_, address := echo(t, c.server, bound)
		got, err := call(NewClient(timeline.NewClock(time.Now), c.client), address, "echo", bound)
		is := is.New(t)
		is.Equal(err == nil && got == "hello", name == "same authority") // by name
		is.True(!errors.Is(err, context.DeadlineExceeded))               // refused, not given up
	}
}

// Guards against connections that stay open without a handshake, and against
// memory taken for a message of any claimed size.
func TestBadConnectionsAreClosed(t *testing.T) {
	server, _ := identity(t, "127.0.0.1")
	for config, data := range map[*tls.Config][]byte{server: nil, nil: binary.AppendUvarint(nil, MaxMessageBytes+1)} {
		_, address := echo(t, config, 10*time.Millisecond)
		conn, err := net.Dial("tcp", address)
		is.New(t).NoErr(err)
		_ = conn.SetDeadline(time.Now().Add(bound))
		_, _ = conn.Write(data)
		_, err = conn.Read(make([]byte, 1))
		is.New(t).Equal(err, io.EOF)
	}
}

// Guards against the first part of a message that the other side will refuse.
func TestTooLargeMessageIsNotSent(t *testing.T) {
	var out bytes.Buffer
	err := lengthCodec{}.WriteObject(&out, make([]byte, MaxMessageBytes/4*3)) // in JSON a third larger, and quoted
	is.New(t).True(errors.Is(err, ErrMessageTooLarge) && out.Len() == 0)
}

// Guards against a client that goes on using a broken connection, or that gives
// up a good one because of an answer that is an error.
func TestCallAfterBrokenConnection(t *testing.T) {
	is, c := is.New(t), NewClient(timeline.NewClock(time.Now), nil)
	s, address := echo(t, nil, bound)
	for range 3 {
		_, err := call(c, address, "echo", bound)
		is.NoErr(err)
		conn := c.conns[address]
		_, err = call(c, address, "fail", bound)
		is.True(err != nil && c.conns[address] == conn)
		s.mu.Lock()
		for serving := range s.conns {
			_ = serving.Close()
		}
		s.mu.Unlock()
		<-conn.DisconnectNotify()
	}
}

// Guards against a call that waits on a peer that accepts and says nothing, and
// against the next call that waits on the same connection again.
func TestSilentPeer(t *testing.T) {
	is, c := is.New(t), NewClient(timeline.NewClock(time.Now), nil)
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer silent.Close()
	for range 2 {
		_, err := call(c, silent.Addr().String(), "echo", 20*time.Millisecond)
		is.True(errors.Is(err, context.DeadlineExceeded))
		conn, err := silent.Accept() // each call has its own connection
		is.NoErr(err)
		_ = conn.SetReadDeadline(time.Now().Add(bound))
		_, err = io.Copy(io.Discard, conn)
		is.NoErr(err) // the client closed it
	}
}

// Guards against frames that crash the reader or read back as something else.
func FuzzReadObject(f *testing.F) {
	for _, seed := range []string{"", "\x02{}", "\x02{", "\x04null", "\x05{}", "\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff", "\x80\x80\x80\x20"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var first, second json.RawMessage
		if (lengthCodec{}).ReadObject(bufio.NewReader(bytes.NewReader(data)), &first) != nil {
			return
		}
		var out bytes.Buffer
		is.New(t).NoErr(lengthCodec{}.WriteObject(&out, first))
		is.New(t).NoErr(lengthCodec{}.ReadObject(bufio.NewReader(&out), &second))
		again, _ := json.Marshal(first)
		is.New(t).Equal(string(second), string(again))
	})
}
