package standincli

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"github.com/agatestep/agatestep/internal/standin"
)

type arguments struct {
	standin.Config
	DrainTimeout time.Duration `default:"10s" help:"Time limit of the drain after SIGTERM."`
}

// Run runs a stand-in until a signal arrives and returns the exit code. SIGTERM
// drains it; a second signal ends it at once.
func Run(args []string) int {
	var a arguments
	exit := -1
	parser, err := kong.New(&a, kong.Name("agatestep-standin"), kong.Exit(func(code int) { exit = code }),
		kong.Description("Stand-in backend server for tests and the quickstart."))
	if err == nil {
		_, err = parser.Parse(args)
	}
	if exit >= 0 {
		return exit
	}
	if err == nil {
		err = run(a)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "agatestep-standin:", err)
		return 1
	}
	return 0
}

func run(args arguments) error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	server, err := standin.Start(args.Config)
	if err != nil {
		return err
	}
	fmt.Printf("%s/%s incarnation %s listens on %s\n", args.Service, args.Backend, server.Incarnation(), server.Addr())
	<-signals
	ctx, cancel := context.WithTimeout(context.Background(), args.DrainTimeout)
	defer cancel()
	go func() {
		<-signals
		cancel()
	}()
	drainErr := server.Drain(ctx)
	if err := server.Close(); err != nil {
		return err
	}
	return drainErr
}
