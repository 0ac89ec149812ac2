// Command agatestep-standin runs a stand-in backend server for tests and the
// quickstart.
package main

import (
	"os"

	"github.com/agatestep/agatestep/internal/standin/standincli"
)

func main() { os.Exit(standincli.Run(os.Args[1:])) }
