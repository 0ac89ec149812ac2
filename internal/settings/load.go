package settings

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/agatestep/agatestep/internal/yamldoc"
)

// Problem is one mistake in a settings file.
type Problem = yamldoc.Problem

// InvalidError lists every mistake of a settings file.
type InvalidError struct{ Problems []Problem }

// Error returns one line for each problem.
func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		lines = append(lines, p.String())
	}
	return strings.Join(lines, "\n")
}

// MaxFileBytes is the maximum size of a settings file in bytes.
const MaxFileBytes = 1 << 20

// Load reads the settings file at path, applies defaults, resolves relative paths
// and validates the settings and the files that they name. The error is an
// *InvalidError when the file could be read but has mistakes.
func Load(path string) (*Settings, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Annotate(err, "reading settings")
	}
	return LoadContent(path, content)
}

// LoadContent does what Load does with the content of the file at path, which was read
// before.
func LoadContent(path string, content []byte) (*Settings, error) {
	s, d := parse(path, content)
	if s != nil {
		s.resolvePaths(filepath.Dir(path))
		validateFiles(s, d)
	}
	return settingsOrError(s, d)
}

// Parse decodes settings, applies defaults and validates the result. It neither
// resolves nor opens the files that the settings name. The error is an
// *InvalidError.
func Parse(name string, content []byte) (*Settings, error) {
	return settingsOrError(parse(name, content))
}

func settingsOrError(s *Settings, d *yamldoc.Document) (*Settings, error) {
	if problems := d.Problems(); len(problems) > 0 {
		return nil, &InvalidError{Problems: problems}
	}
	return s, nil
}

// parse returns nil settings when content cannot be decoded at all.
func parse(name string, content []byte) (*Settings, *yamldoc.Document) {
	s := defaultSettings()
	if len(content) > MaxFileBytes {
		d, _ := yamldoc.Decode(name, []byte("{}"), s)
		d.AddProblem("", "the file has %d bytes; at most %d are allowed", len(content), MaxFileBytes)
		return nil, d
	}
	d, ok := yamldoc.Decode(name, content, s)
	if !ok {
		return nil, d
	}
	s.Deployment.applyDerivedDefaults(s.Listen)
	validate(s, d)
	return s, d
}

func defaultSettings() *Settings {
	return &Settings{
		Region: "default",
		Timing: Timing{
			Tick: 25 * time.Millisecond, ElectionTicksMin: 12, ElectionTicksMax: 24,
			SessionTTL: time.Second, RenewInterval: 200 * time.Millisecond,
			BackendLeaseTTL: time.Second, AnnounceInterval: 200 * time.Millisecond,
			MaxClockDrift: 0.01, WatchTimeout: 500 * time.Millisecond,
		},
		Limits: Limits{
			HeaderBytes: 64 << 10, BodyBytes: 1 << 30, Connections: 10_000, InFlight: 5_000, QueuePerBackend: 64,
		},
		Deployment: defaultDeployment(),
		Shutdown:   Shutdown{Delay: 2 * time.Second, Timeout: 30 * time.Second},
		Memory:     Memory{GCPercent: 100},
		Log:        Log{Level: "info", Format: "json", LinesPerSecond: 1000},
	}
}

// resolvePaths resolves relative paths against folder.
func (s *Settings) resolvePaths(folder string) {
	for _, path := range []*string{&s.DataFolder, &s.TLS.CertFile, &s.TLS.KeyFile, &s.TLS.CAFile, &s.Admin.TokenFile} {
		if *path != "" && !filepath.IsAbs(*path) {
			*path = filepath.Join(folder, *path)
		}
	}
}

func validateFiles(s *Settings, d *yamldoc.Document) {
	if s.TLS.Mode == TLSMutual && s.TLS.CertFile != "" && s.TLS.KeyFile != "" {
		_, err := tls.LoadX509KeyPair(s.TLS.CertFile, s.TLS.KeyFile)
		d.Require(err == nil, "tls.cert_file", "must be a PEM certificate that fits tls.key_file: %v", err)
	}
	if s.TLS.Mode == TLSMutual && s.TLS.CAFile != "" {
		pem, err := os.ReadFile(s.TLS.CAFile)
		d.Require(err == nil, "tls.ca_file", "must be a readable file: %v", err)
		d.Require(err != nil || x509.NewCertPool().AppendCertsFromPEM(pem), "tls.ca_file", "must hold PEM certificates")
	}
	if s.Admin.TokenFile != "" {
		token, err := os.ReadFile(s.Admin.TokenFile)
		d.Require(err == nil, "admin.token_file", "must be a readable file: %v", err)
		d.Require(err != nil || strings.TrimSpace(string(token)) != "", "admin.token_file", "must not be empty")
	}
}
