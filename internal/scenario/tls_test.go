package scenario

import (
	"context"
	"crypto/ed25519"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"errors"
	"fmt"
	"math/big"
	"net"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/agatestep/agatestep/internal/admin"
	"github.com/agatestep/agatestep/internal/peer"
	"github.com/agatestep/agatestep/internal/timeline"
)

// identities are the certificates and the operator token of a cluster with mutual TLS.
type identities struct {
	dir          string
	foreignHosts []string // hosts whose certificate is from a foreign authority
	client       *tls.Config
}

func (i *identities) settings(host string) string {
	cert := i.dir + "/ours"
	if slices.Contains(i.foreignHosts, host) {
		cert = i.dir + "/foreign"
	}
	return fmt.Sprintf("tls: {mode: mutual, cert_file: %[1]s, key_file: %[1]s, ca_file: %[2]s/ours}\nadmin: {token_file: %[2]s/token}\n", cert, i.dir)
}

func (c *cluster) client(host string) *admin.Client {
	if c.tlsIdentities == nil {
		return admin.NewClient([]string{c.address(host, 7104)}, "", nil)
	}
	return admin.NewClient([]string{c.address(host, 7104)}, adminToken, c.tlsIdentities.client)
}

// cmdIdentities turns on mutual TLS and the operator token. The given hosts get a certificate
// of a foreign authority: identities [HOST...]
func cmdIdentities(ts *testscript.TestScript, _ bool, foreign []string) {
	c := clusterOf(ts)
	c.tlsIdentities = &identities{dir: ts.MkAbs("tls"), foreignHosts: foreign}
	ts.Check(os.Mkdir(c.tlsIdentities.dir, 0o700))
	ts.Check(os.WriteFile(c.tlsIdentities.dir+"/token", []byte(adminToken+"\n"), 0o600))
	ownFile, foreignFile := c.tlsIdentities.dir+"/ours", c.tlsIdentities.dir+"/foreign"
	ts.Check(errors.Join(writeIdentity(ownFile, c.prefix), writeIdentity(foreignFile, c.prefix)))
	_, client, err := peer.LoadTLS(peer.TLSFiles{CertFile: ownFile, KeyFile: ownFile, CAFile: ownFile})
	ts.Check(err)
	c.tlsIdentities.client = client
	client.RootCAs.AppendCertsFromPEM([]byte(ts.ReadFile(foreignFile))) // to read the status of hosts with a foreign certificate
	for name, file := range map[string]string{"TOKEN": c.tlsIdentities.dir + "/token", "CERT": ownFile, "KEY": ownFile, "CA": ownFile} {
		ts.Setenv("AGATESTEP_"+name+"_FILE", file)
	}
}

// writeIdentity writes a self-signed certificate for all hosts and its key into one file.
func writeIdentity(file, prefix string) error {
	public, key, _ := ed25519.GenerateKey(rand.Reader)
	cert := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}}
	for n := range 5 {
		cert.IPAddresses = append(cert.IPAddresses, net.ParseIP(fmt.Sprintf("%s.%d", prefix, n+1)))
	}
	raw, err := x509.CreateCertificate(rand.Reader, cert, cert, public, key)
	private, keyErr := x509.MarshalPKCS8PrivateKey(key)
	text := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: raw})
	text = append(text, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: private})...)
	return errors.Join(err, keyErr, os.WriteFile(file, text, 0o600))
}

// Guards against calls that are accepted without a certificate of the authority, and against
// servers that are trusted without one.
func TestPeersNeedCertificates(t *testing.T) {
	identity := func(prefix string) (server, client *tls.Config) {
		file := t.TempDir() + "/host"
		is.New(t).NoErr(writeIdentity(file, prefix))
		server, client, _ = peer.LoadTLS(peer.TLSFiles{CertFile: file, KeyFile: file, CAFile: file})
		return server, client
	}
	server, client := identity("127.0.0")
	foreignServer, foreignClient := identity("127.0.0")
	foreignClient.RootCAs, foreignServer.ClientCAs = client.RootCAs, server.ClientCAs
	for name, c := range map[string]struct{ server, client *tls.Config }{
		"same authority": {server, client}, "certificate of another": {server, foreignClient}, "no TLS": {server, nil},
		"no certificate": {server, &tls.Config{RootCAs: client.RootCAs}}, "server of another authority": {foreignServer, client},
	} {
		is, clock := is.New(t), timeline.NewClock(time.Now)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		s := peer.NewServer(clock)
		s.Register("echo", peer.Handle(func(_ context.Context, text string) (string, error) { return text, nil }))
		go func() { _ = s.Serve(l, c.server) }()
		got := ""
		err = peer.NewClient(clock, c.client).Call(context.Background(), l.Addr().String(), "echo", "hello", &got)
		is.Equal(err == nil && got == "hello", name == "same authority") // the only case that must succeed
	}
}
