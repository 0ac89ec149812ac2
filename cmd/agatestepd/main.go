// Command agatestepd is the daemon that runs on each host of agatestep.
package main

import (
	"os"

	"github.com/agatestep/agatestep/internal/daemoncli"
	"github.com/agatestep/agatestep/platform"
)

func main() { os.Exit(daemoncli.Run(os.Args[1:], platform.Adapter{})) }
