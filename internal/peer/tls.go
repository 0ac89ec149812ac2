package peer

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/juju/errors"
)

// TLSFiles are the paths of the files for mutual TLS, in PEM form.
type TLSFiles struct {
	CertFile string
	KeyFile  string
	CAFile   string
}

// LoadTLS reads the files for mutual TLS and returns the configurations for
// accepting and for opening connections. Both sides must present a certificate
// that the certificate authority signed.
func LoadTLS(files TLSFiles) (server, client *tls.Config, err error) {
	cert, err := tls.LoadX509KeyPair(files.CertFile, files.KeyFile)
	if err != nil {
		return nil, nil, errors.Annotatef(err, "loading certificate %q with key %q", files.CertFile, files.KeyFile)
	}
	pem, err := os.ReadFile(files.CAFile)
	if err != nil {
		return nil, nil, errors.Annotate(err, "reading certificate authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, nil, errors.Errorf("file %q holds no certificate in PEM form", files.CAFile)
	}
	server = &tls.Config{
		Certificates: []tls.Certificate{cert},
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS13,
	}
	client = &tls.Config{
		Certificates: []tls.Certificate{cert},
		RootCAs:      pool,
		MinVersion:   tls.VersionTLS13,
	}
	return server, client, nil
}
