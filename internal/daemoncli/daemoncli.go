package daemoncli

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/juju/errors"
	"go.uber.org/zap"

	"github.com/agatestep/agatestep/internal/daemon"
	"github.com/agatestep/agatestep/internal/logging"
	"github.com/agatestep/agatestep/internal/settings"
)

type root struct {
	Run           runCmd   `cmd:"" help:"Run the daemon."`
	CheckSettings checkCmd `cmd:"" name:"check-settings" help:"Check a settings file and report every mistake."`
}

type runCmd struct {
	Settings string `required:"" help:"Settings file (YAML)."`
}

type checkCmd struct {
	Settings string `arg:"" help:"Settings file (YAML)."`
}

// Run checks the file.
func (c *checkCmd) Run() error {
	s, err := settings.Load(c.Settings)
	if err != nil {
		return err
	}
	fmt.Printf("settings of host %s are valid\n", s.Host)
	return nil
}

// Run serves until a signal arrives. A second signal ends the process without
// waiting for backend servers to answer requests in flight.
func (c *runCmd) Run(adapter daemon.Adapter) error {
	s, err := settings.Load(c.Settings)
	if err != nil {
		return err
	}
	logger, sink, err := logging.New(s.Log, os.Stdout)
	if err != nil {
		return errors.Annotate(err, "building the log")
	}
	defer sink.Close(logCloseTimeout)
	p, err := newProcess(s, logger, adapter)
	if err != nil {
		return err
	}
	limitMemory(s.Memory)
	ctx, hard := signalContexts()
	go watchSettings(ctx, c.Settings, logger, p)
	return p.Run(ctx, hard)
}

// softLimitShare is the part of the memory that a process may use at which the
// collector begins to work harder.
const softLimitShare = 0.75

func limitMemory(m settings.Memory) {
	debug.SetGCPercent(m.GCPercent)
	if m.LimitMB > 0 {
		debug.SetMemoryLimit(int64(softLimitShare * float64(m.LimitMB) * (1 << 20)))
	}
}

// logCloseTimeout bounds the wait for an output that takes no lines at the end.
const logCloseTimeout = 200 * time.Millisecond

// runner is a process that serves until ctx ends and then stops gracefully, or
// early when hard ends.
type runner interface {
	Run(ctx, hard context.Context) error
	// Reload takes over changed settings, as far as that needs no restart.
	Reload(s *settings.Settings)
}

// newProcess returns the process for the role of the host.
func newProcess(s *settings.Settings, logger *zap.Logger, adapter daemon.Adapter) (runner, error) {
	switch s.Deployment.Role {
	case settings.RoleEntry:
		return daemon.NewEntryHost(s, logger, adapter)
	case settings.RoleControl:
		return daemon.NewControlHost(s, logger, adapter)
	default:
		return daemon.New(s, logger)
	}
}

func signalContexts() (soft, hard context.Context) {
	soft, stop := context.WithCancel(context.Background())
	hard, kill := context.WithCancel(context.Background())
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		stop()
		<-signals
		kill()
	}()
	return soft, hard
}

// Run parses the command line, runs it and returns the exit code. The adapter
// serves hosts with one role.
func Run(args []string, adapter daemon.Adapter) int {
	var r root
	exit := -1
	parser, err := kong.New(&r, kong.Name("agatestepd"), kong.Exit(func(code int) { exit = code }),
		kong.Description("The daemon of agatestep, the router for servers that own keys exclusively."))
	if err != nil {
		return fail(err)
	}
	ctx, err := parser.Parse(args)
	if exit >= 0 {
		return exit
	}
	if err != nil {
		return fail(err)
	}
	ctx.BindTo(adapter, (*daemon.Adapter)(nil))
	if err := ctx.Run(); err != nil {
		return fail(err)
	}
	return 0
}

func fail(err error) int {
	fmt.Fprintln(os.Stderr, "agatestepd:", err)
	return 1
}
