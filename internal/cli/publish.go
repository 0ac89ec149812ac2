package cli

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sort"
	"time"

	"github.com/juju/errors"

	"github.com/agatestep/agatestep/internal/admin"
	"github.com/agatestep/agatestep/internal/command"
	"github.com/agatestep/agatestep/internal/service"
)

type checkCmd struct {
	Dir       string `arg:"" help:"Folder with service files (*.yaml)."`
	Published bool   `help:"Also judge the files together with the published ones of other teams."`
}

// Run validates the files offline and, with --published, against the published ones.
func (c *checkCmd) Run(s *invocation) error {
	files, err := readServiceFiles(c.Dir)
	if err != nil {
		return err
	}
	set, problems := service.CheckSet(files)
	if len(problems) > 0 {
		return rejectProblems(s, problems)
	}
	reply := admin.CheckReply{Problems: []string{}}
	if c.Published {
		if reply, err = s.checkAgainstPublished(files); err != nil {
			return err
		}
		if len(reply.Problems) > 0 {
			return rejectReply(s, reply)
		}
	}
	return s.printResult(reply, func(w io.Writer) {
		fmt.Fprintf(w, "%d service files are valid; all expectations hold\n", len(set.Files))
	})
}

func (s *invocation) checkAgainstPublished(files []service.SourceFile) (admin.CheckReply, error) {
	var reply admin.CheckReply
	client, err := s.adminClient()
	if err != nil {
		return reply, err
	}
	err = client.Post(s.ctx, "/v1/check", admin.CheckRequest{Files: toCommandFiles(files)}, &reply)
	return reply, errors.WithType(err, errReadOnly)
}

func toCommandFiles(files []service.SourceFile) []command.File {
	out := make([]command.File, 0, len(files))
	for _, f := range files {
		out = append(out, command.File{Name: f.Name, Content: f.Content})
	}
	return out
}

// rejectProblems prints the problems and returns an ErrRefused.
func rejectProblems(s *invocation, problems []service.Problem) error {
	reply := admin.CheckReply{}
	for _, p := range problems {
		reply.Problems = append(reply.Problems, p.String())
	}
	return rejectReply(s, reply)
}

// rejectReply prints the problems of reply and returns an ErrRefused.
func rejectReply(s *invocation, reply admin.CheckReply) error {
	err := s.printResult(reply, func(w io.Writer) {
		for _, text := range reply.Problems {
			fmt.Fprintln(w, text)
		}
	})
	if err != nil {
		return err
	}
	return errors.WithType(errors.Errorf("%d problems found; nothing was published", len(reply.Problems)), ErrRefused)
}

// readServiceFiles reads the *.yaml files of a folder, sorted by name.
func readServiceFiles(dir string) ([]service.SourceFile, error) {
	paths, err := filepath.Glob(filepath.Join(dir, "*.yaml"))
	if err != nil {
		return nil, errors.WithType(err, ErrRefused)
	}
	if len(paths) == 0 {
		return nil, errors.WithType(errors.Errorf("folder %q has no service file (*.yaml)", dir), ErrRefused)
	}
	sort.Strings(paths)
	var files []service.SourceFile
	for _, path := range paths {
		content, err := os.ReadFile(path)
		if err != nil {
			return nil, errors.WithType(err, ErrRefused)
		}
		files = append(files, service.SourceFile{Name: filepath.Base(path), Content: string(content)})
	}
	return files, nil
}

// waitFlags are the flags of commands that change the state of the system.
type waitFlags struct {
	Wait      time.Duration `help:"Time to wait until the change is in force everywhere; 0 does not wait." default:"10s"`
	RequestID string        `help:"Identifier of this request; use the same one to send it again."`
}

// ensureRequestID returns the request id and generates one if none was given.
func (w *waitFlags) ensureRequestID() string {
	if w.RequestID == "" {
		w.RequestID = newRequestID()
	}
	return w.RequestID
}

type publishCmd struct {
	Dir string `arg:"" help:"Folder with service files (*.yaml)."`
	waitFlags
}

// Run validates the files offline and publishes them.
func (c *publishCmd) Run(s *invocation) error {
	files, err := readServiceFiles(c.Dir)
	if err != nil {
		return err
	}
	if _, problems := service.CheckSet(files); len(problems) > 0 {
		return rejectProblems(s, problems)
	}
	request := admin.PublishRequest{RequestID: c.ensureRequestID(), Files: toCommandFiles(files), WaitMs: c.Wait.Milliseconds()}
	return s.sendCommand("/v1/publish", request, request.RequestID, c.Wait)
}

// sendCommand posts request and prints the result. If the request fails, the error
// states the request id, with which the command can be retried. With a positive
// wait, the error is an ErrNotInForce when the change was not in force in time.
func (s *invocation) sendCommand(path string, request any, id string, wait time.Duration) error {
	client, err := s.adminClient()
	if err != nil {
		return err
	}
	var reply admin.OperateReply
	if err := client.Post(s.ctx, path, request, &reply); err != nil {
		return errors.Annotatef(err, "request %s", id)
	}
	if err := s.printResult(reply, func(w io.Writer) { printCommandResult(w, reply, id) }); err != nil {
		return err
	}
	if wait > 0 && !reply.InForce {
		return errors.WithType(errors.Errorf("committed at revision %d, but not known to be in force within %s; waiting for hosts: %v",
			reply.Result.Revision, wait, reply.Pending), ErrNotInForce)
	}
	return nil
}

func printCommandResult(w io.Writer, reply admin.OperateReply, id string) {
	state := "committed"
	if reply.InForce {
		state = "in force everywhere"
	}
	fmt.Fprintf(w, "request %s: revision %d, %s\n", id, reply.Result.Revision, state)
	for _, name := range sortedKeys(reply.Result.Versions) {
		fmt.Fprintf(w, "  %s version %d\n", name, reply.Result.Versions[name])
	}
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}

// target selects the data centre or backend server to drain or restore.
type target struct {
	Kind    string `arg:"" enum:"data-centre,backend" help:"data-centre or backend."`
	Name    string `arg:"" help:"Name of the data centre, or SERVICE/BACKEND."`
	Version uint64 `help:"Version of the drain record that this command creates; 0 means the next one."`
	waitFlags
}

func (t *target) sendDrain(s *invocation, out bool) error {
	request := admin.DrainRequest{
		RequestID: t.ensureRequestID(), Kind: command.DrainKind(t.Kind), Name: t.Name,
		Out: out, Version: t.Version, WaitMs: t.Wait.Milliseconds(),
	}
	return s.sendCommand("/v1/drains", request, request.RequestID, t.Wait)
}

type drainCmd struct{ target }

// Run drains the target.
func (c *drainCmd) Run(s *invocation) error { return c.sendDrain(s, true) }

type restoreCmd struct{ target }

// Run restores the target.
func (c *restoreCmd) Run(s *invocation) error { return c.sendDrain(s, false) }
