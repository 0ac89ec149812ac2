package daemoncli

import (
	"context"
	"fmt"
	"os"
	"runtime/debug"
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

// Run checks the settings file. It returns its mistakes as an error.
func (c *checkCmd) Run() error {
	s, err := settings.Load(c.Settings)
	if err != nil {
		return err
	}
	fmt.Printf("settings of host %s are valid\n", s.Host)
	return nil
}

// Run serves until SIGTERM or SIGINT arrives, then stops gracefully. A second signal
// ends the process without waiting for backend servers to answer requests in flight.
func (c *runCmd) Run(adapter daemon.Adapter) error {
	received := receiveSignals()
	content, err := os.ReadFile(c.Settings)
	if err != nil {
		return errors.Annotate(err, "reading settings")
	}
	s, err := settings.LoadContent(c.Settings, content)
	if err != nil {
		return err
	}
	logger, sink, err := logging.New(s.Log, os.Stdout)
	if err != nil {
		return errors.Annotate(err, "creating the logger")
	}
	defer sink.Close(logCloseTimeout)
	p, err := newProcess(s, logger, adapter)
	if err != nil {
		return err
	}
	applyMemoryLimits(s.Memory)
	return serve(p, received, settingsFile{path: c.Settings, content: content}, logger)
}

// serve runs a process until a signal stops it, and reloads its settings file.
func serve(p runner, received signals, file settingsFile, logger *zap.Logger) error {
	ctx, forceStop := received.stopContexts()
	go file.watch(ctx, received.hangup, logger, p)
	return p.Run(ctx, forceStop)
}

// memoryLimitShare is the share of the process's memory limit above which the garbage
// collector runs more often.
const memoryLimitShare = 0.75

func applyMemoryLimits(m settings.Memory) {
	debug.SetGCPercent(m.GCPercent)
	if m.LimitMB > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(m.LimitMB) * (1 << 20)))
	}
}

// logCloseTimeout bounds the wait, at the end of the process, for a log output that is
// blocked.
const logCloseTimeout = 200 * time.Millisecond

// runner is a process that serves until ctx ends and then stops gracefully, or at once
// when forceStop ends.
type runner interface {
	Run(ctx, forceStop context.Context) error
	// Reload applies those changed settings that need no restart.
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

// Run parses the command line, runs the command and returns the exit code. The adapter is
// for hosts with one role.
func Run(args []string, adapter daemon.Adapter) int {
	var r root
	exitCode := -1
	parser, err := kong.New(&r, kong.Name("agatestepd"), kong.Exit(func(code int) { exitCode = code }),
		kong.Description("The daemon of agatestep, the router for servers that own keys exclusively."))
	if err != nil {
		return reportError(err)
	}
	ctx, err := parser.Parse(args)
	if exitCode >= 0 {
		return exitCode
	}
	if err != nil {
		return reportError(err)
	}
	ctx.BindTo(adapter, (*daemon.Adapter)(nil))
	if err := ctx.Run(); err != nil {
		return reportError(err)
	}
	return 0
}

func reportError(err error) int {
	fmt.Fprintln(os.Stderr, "agatestepd:", err)
	return 1
}
