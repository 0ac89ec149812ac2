package daemon

import (
	"github.com/agatestep/agatestep/internal/command"
	"github.com/agatestep/agatestep/internal/control"
	"github.com/agatestep/agatestep/internal/service"
)

// serviceChecker judges the service files of a publish.
var serviceChecker = control.Checker{Parse: parseService, Set: checkServices}

func parseService(f command.File) (*service.File, []string) {
	file, problems := service.Parse(f.Name, []byte(f.Content))
	return file, texts(problems)
}

func checkServices(files []command.File) []string {
	sources := make([]service.SourceFile, 0, len(files))
	for _, f := range files {
		sources = append(sources, service.SourceFile{Name: f.Name, Content: f.Content})
	}
	_, problems := service.CheckSet(sources)
	return texts(problems)
}

func texts(problems []service.Problem) []string {
	out := make([]string, 0, len(problems))
	for _, p := range problems {
		out = append(out, p.String())
	}
	return out
}
