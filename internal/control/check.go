package control

import (
	"github.com/agatestep/agatestep/internal/command"
	"github.com/agatestep/agatestep/internal/service"
)

// Checker parses and checks service files. Problems are readable lines that name
// file, line and reason. Both functions must be deterministic.
type Checker struct {
	// Parse reads one file.
	Parse func(f command.File) (*service.File, []string)
	// Set checks all files together.
	Set func(files []command.File) []string
}
