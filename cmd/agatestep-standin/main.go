// Command agatestep-standin runs a stand-in backend server for tests and the
// quickstart. SIGTERM drains it; a second signal ends it at once.
package main

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

func main() {
	var args arguments
	parser := kong.Parse(&args, kong.Name("agatestep-standin"),
		kong.Description("Stand-in backend server for tests and the quickstart."))
	parser.FatalIfErrorf(run(args))
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
