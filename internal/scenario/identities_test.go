package scenario

import (
	"crypto/ed25519"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"os"
	"slices"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/agatestep/agatestep/internal/admin"
	"github.com/agatestep/agatestep/internal/peer"
)

const adminToken = "let-the-operator-in"

// identities are the certificates and tokens of a cluster with mutual TLS.
type identities struct {
	dir     string
	foreign []string // hosts with a certificate of a foreign authority
	client  *tls.Config
}

func (i *identities) settings(host string) string {
	cert := i.dir + "/ours"
	if slices.Contains(i.foreign, host) {
		cert = i.dir + "/foreign"
	}
	return fmt.Sprintf("tls: {mode: mutual, cert_file: %[1]s, key_file: %[1]s, ca_file: %[2]s/ours}\nadmin: {token_file: %[2]s/token}\n", cert, i.dir)
}

// client returns a client of the administration API of one host.
func (c *cluster) client(host string) *admin.Client {
	if c.ids == nil {
		return admin.NewClient([]string{c.address(host, 7104)}, "", nil)
	}
	return admin.NewClient([]string{c.address(host, 7104)}, adminToken, c.ids.client)
}

// cmdIdentities turns on mutual TLS and the admin token for the daemons and the
// tool. The hosts named get the certificate of a foreign authority.
func cmdIdentities(ts *testscript.TestScript, _ bool, foreign []string) {
	c := of(ts)
	c.ids = &identities{dir: ts.MkAbs("tls"), foreign: foreign}
	ts.Check(os.Mkdir(c.ids.dir, 0o700))
	ts.Check(os.WriteFile(c.ids.dir+"/token", []byte(adminToken+"\n"), 0o600))
	ours, theirs := c.writeIdentity(ts, "ours"), c.writeIdentity(ts, "foreign")
	_, config, err := peer.LoadTLS(peer.TLSFiles{CertFile: ours, KeyFile: ours, CAFile: ours})
	ts.Check(err)
	raw, err := os.ReadFile(theirs)
	ts.Check(err)
	config.RootCAs.AppendCertsFromPEM(raw) // to see the status of foreign hosts
	c.ids.client = config
	for name, file := range map[string]string{"TOKEN": c.ids.dir + "/token", "CERT": ours, "KEY": ours, "CA": ours} {
		ts.Setenv("AGATESTEP_"+name+"_FILE", file)
	}
}

// writeIdentity writes a certificate for all hosts, its key and its authority into one file.
func (c *cluster) writeIdentity(ts *testscript.TestScript, name string) string {
	public, key, err := ed25519.GenerateKey(rand.Reader)
	ts.Check(err)
	cert := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}}
	for n := range 5 {
		cert.IPAddresses = append(cert.IPAddresses, net.ParseIP(fmt.Sprintf("%s.%d", c.prefix, n+1)))
	}
	raw, err := x509.CreateCertificate(rand.Reader, cert, cert, public, key)
	ts.Check(err)
	private, err := x509.MarshalPKCS8PrivateKey(key)
	ts.Check(err)
	text := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: raw})
	file := c.ids.dir + "/" + name
	ts.Check(os.WriteFile(file, append(text, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: private})...), 0o600))
	return file
}
