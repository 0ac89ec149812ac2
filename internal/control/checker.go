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
	// CheckSet checks all files together.
	CheckSet func(files []command.File) []string
}

// ServiceChecker returns a Checker with the rules of package service.
func ServiceChecker() Checker { return Checker{Parse: parseFile, CheckSet: checkSet} }

func parseFile(f command.File) (*service.File, []string) {
	parsed, problems := service.Parse(f.Name, []byte(f.Content))
	return parsed, problemLines(problems)
}

func checkSet(files []command.File) []string {
	sources := make([]service.SourceFile, 0, len(files))
	for _, f := range files {
		sources = append(sources, service.SourceFile{Name: f.Name, Content: f.Content})
	}
	_, problems := service.CheckSet(sources)
	return problemLines(problems)
}

func problemLines(problems []service.Problem) []string {
	var out []string
	for _, p := range problems {
		out = append(out, p.String())
	}
	return out
}
