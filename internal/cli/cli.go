package cli

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"

	"github.com/alecthomas/kong"
	"github.com/juju/errors"

	"github.com/agatestep/agatestep/internal/admin"
	"github.com/agatestep/agatestep/internal/peer"
)

// Exit codes of the tool.
const (
	ExitOK = 0
	// ExitRefused means that the input failed validation or was refused by a rule;
	// nothing changed.
	ExitRefused = 1
	// ExitUsage means that the command line was not understood.
	ExitUsage = 2
	// ExitUnknown means that the command may have taken effect; a retry with the
	// same --request-id is safe.
	ExitUnknown = 3
	// ExitNotInForce means that the change is committed but was not in force
	// everywhere within the time to wait.
	ExitNotInForce = 4
	// ExitUnavailable means that no daemon could serve the command now; nothing
	// changed, and the command may be retried.
	ExitUnavailable = 5
)

// ErrRefused marks an error after which nothing changed.
var ErrRefused = errors.ConstError("refused")

// ErrNotInForce marks a change that is committed but not yet in force everywhere.
var ErrNotInForce = errors.ConstError("not in force everywhere")

type globals struct {
	Admin     []string `help:"Administration addresses (IP:port), tried in turn." default:"127.0.0.1:7004" env:"AGATESTEP_ADMIN"`
	TokenFile string   `help:"File with the administration token." env:"AGATESTEP_TOKEN_FILE"`
	CertFile  string   `help:"TLS certificate; with --key-file and --ca-file." env:"AGATESTEP_CERT_FILE"`
	KeyFile   string   `help:"TLS key." env:"AGATESTEP_KEY_FILE"`
	CAFile    string   `help:"TLS certificate authority." name:"ca-file" env:"AGATESTEP_CA_FILE"`
	JSON      bool     `help:"Print JSON."`
}

type root struct {
	globals

	Check          checkCmd     `cmd:"" help:"Judge the service files of a folder without a running system."`
	Publish        publishCmd   `cmd:"" help:"Publish the service files of a folder."`
	Drain          drainCmd     `cmd:"" help:"Take a data centre or a backend server out of service."`
	Restore        restoreCmd   `cmd:"" help:"Bring a data centre or a backend server back into service."`
	Status         statusCmd    `cmd:"" help:"Show what a daemon sees of the system."`
	Explain        explainCmd   `cmd:"" help:"Show where a request would go, without sending it."`
	Timeline       timelineCmd  `cmd:"" help:"Show the events of all daemons in one order."`
	Bootstrap      bootstrapCmd `cmd:"" help:"Make a new control group out of empty control replicas."`
	ReplaceReplica replaceCmd   `cmd:"" name:"replace-replica" help:"Replace a lost control replica by an empty one."`
}

// invocation holds the context, output and global flags of one run of the tool.
type invocation struct {
	ctx     context.Context
	out     io.Writer
	globals *globals
}

// Run executes the tool with args, which exclude the program name, and returns its
// exit code.
func Run(ctx context.Context, args []string, out, errOut io.Writer) int {
	var r root
	exit := -1
	parser, err := kong.New(&r, kong.Name("agatestep"), kong.Writers(out, errOut),
		kong.Description("Operates agatestep, the router for servers that own keys exclusively."),
		kong.Exit(func(code int) { exit = code }))
	if err != nil {
		fmt.Fprintln(errOut, err)
		return ExitUsage
	}
	parsed, err := parser.Parse(args)
	if exit >= 0 {
		return exit
	}
	if err != nil {
		fmt.Fprintln(errOut, "agatestep:", err)
		return ExitUsage
	}
	s := &invocation{ctx: ctx, out: out, globals: &r.globals}
	return reportError(errOut, parsed.Run(s))
}

// reportError prints err, unless it is nil, and returns its exit code.
func reportError(errOut io.Writer, err error) int {
	if err == nil {
		return ExitOK
	}
	fmt.Fprintln(errOut, "agatestep:", err)
	var remote *admin.RemoteError
	switch {
	case errors.Is(err, ErrRefused):
		return ExitRefused
	case errors.Is(err, ErrNotInForce):
		return ExitNotInForce
	case errors.As(err, &remote) && remote.Status < http.StatusInternalServerError && admin.DidNotRun(err):
		return ExitRefused
	case admin.DidNotRun(err), errors.Is(err, errReadOnly):
		return ExitUnavailable
	default:
		return ExitUnknown
	}
}

// errReadOnly marks the failure of a request that cannot change anything.
var errReadOnly = errors.ConstError("read only")

func (s *invocation) adminClient() (*admin.Client, error) {
	return s.adminClientFor(s.globals.Admin)
}

func (s *invocation) adminClientFor(addresses []string) (*admin.Client, error) {
	token, err := s.readToken()
	if err != nil {
		return nil, err
	}
	config, err := s.tlsConfig()
	if err != nil {
		return nil, err
	}
	return admin.NewClient(addresses, token, config), nil
}

func (s *invocation) readToken() (string, error) {
	if s.globals.TokenFile == "" {
		return "", nil
	}
	data, err := os.ReadFile(s.globals.TokenFile)
	if err != nil {
		return "", errors.WithType(errors.Annotate(err, "reading the administration token"), ErrRefused)
	}
	return strings.TrimSpace(string(data)), nil
}

// tlsConfig returns the TLS configuration of the flags, or nil for plain HTTP.
func (s *invocation) tlsConfig() (*tls.Config, error) {
	g := s.globals
	if g.CertFile == "" && g.KeyFile == "" && g.CAFile == "" {
		return nil, nil
	}
	if g.CertFile == "" || g.KeyFile == "" || g.CAFile == "" {
		return nil, errors.WithType(errors.New("--cert-file, --key-file and --ca-file must be given together"), ErrRefused)
	}
	_, config, err := peer.LoadTLS(peer.TLSFiles{CertFile: g.CertFile, KeyFile: g.KeyFile, CAFile: g.CAFile})
	if err != nil {
		return nil, errors.WithType(err, ErrRefused)
	}
	return config, nil
}

// printResult writes value as JSON with --json, and otherwise calls printText.
func (s *invocation) printResult(value any, printText func(io.Writer)) error {
	if !s.globals.JSON {
		printText(s.out)
		return nil
	}
	encoder := json.NewEncoder(s.out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// newRequestID returns a random identifier for a request.
func newRequestID() string {
	var raw [12]byte
	_, _ = rand.Read(raw[:]) // never fails, by its documentation
	return hex.EncodeToString(raw[:])
}
