// Command agatestep is the command-line tool for operators and service teams.
package main

import (
	"context"
	"os"
	"os/signal"

	"github.com/agatestep/agatestep/internal/cli"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	code := cli.Run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
