package control

import (
	"crypto/sha256"
	"fmt"
	"sync/atomic"

	"github.com/juju/errors"

	"github.com/agatestep/agatestep/internal/command"
	"github.com/agatestep/agatestep/internal/fleet"
	"github.com/agatestep/agatestep/internal/ownership"
	"github.com/agatestep/agatestep/internal/service"
)

// source is a published service file with the command that published it.
type source struct {
	Service   string
	Name      string // file name
	Content   string
	Revision  uint64
	RequestID string
	Result    []byte // encoded result of that command
	file      *service.File
}

func (s *State) applyDrain(index uint64, d *command.Drain) *command.Result {
	version, repeat, err := s.fleet.CheckDrain(d)
	if err != nil {
		return refusedResult(index, err)
	}
	key := fleet.DrainKey{Kind: d.Kind, Name: d.Name}
	if repeat {
		return storedResult(index, s.fleet.DrainRecord(key).Result)
	}
	res := &command.Result{Code: command.ResultOK, Revision: index, Versions: map[string]uint64{d.Name: version}}
	encoded, err := command.EncodeResult(res)
	if err != nil {
		return refusedResult(index, err)
	}
	services := s.fleet.SetDrain(fleet.Drain{
		DrainKey: key, Out: d.Out, Version: version, RequestID: d.RequestID, Result: encoded,
	})
	for _, name := range sortedNames(services) {
		s.reassign(name, index)
	}
	atomic.StoreUint64(&s.operatorRevision, index)
	return res
}

// publishFiles puts all of the service files in force, or none of them.
func (s *State) publishFiles(index uint64, p *command.Publish) *command.Result {
	parsed, err := s.parseFiles(p.Files)
	if err != nil {
		return refusedFilesResult(index, err)
	}
	versions := map[string]uint64{}
	var changed []*source
	for _, src := range parsed {
		same, err := s.checkVersion(src)
		if err != nil {
			return refusedResult(index, err)
		}
		versions[src.file.Service] = src.file.Version
		if !same {
			changed = append(changed, src)
		}
	}
	if len(changed) == 0 {
		return s.originalResult(index, parsed)
	}
	if err := s.checkMergedFiles(changed); err != nil {
		return refusedFilesResult(index, err)
	}
	res := &command.Result{Code: command.ResultOK, Revision: index, Versions: versions}
	encoded, err := command.EncodeResult(res)
	if err != nil {
		return refusedResult(index, err)
	}
	for _, src := range changed {
		src.Revision, src.RequestID, src.Result = index, p.RequestID, encoded
		s.putSource(src, index)
	}
	atomic.StoreUint64(&s.operatorRevision, index)
	return res
}

// putSource replaces a service file and creates the slices of a new keyed service.
func (s *State) putSource(src *source, index uint64) {
	name := src.file.Service
	s.sources[name] = src
	if src.file.Keyed() && s.slices[name] == nil {
		s.slices[name] = ownership.New(name, src.file.Slices)
		s.reassign(name, index)
	}
}

// originalResult returns the result of the last publish that put one of files in force,
// with the versions of all of them.
func (s *State) originalResult(index uint64, files []*source) *command.Result {
	var last *source
	versions := map[string]uint64{}
	for _, f := range files {
		old := s.sources[f.file.Service]
		versions[f.file.Service] = f.file.Version
		if last == nil || old.Revision > last.Revision {
			last = old
		}
	}
	res := storedResult(index, last.Result)
	if len(res.Versions) < len(versions) {
		res.Versions = versions
	}
	return res
}

// fileErrors is a refusal with a reason per line of the files.
type fileErrors struct{ problems []string }

func (e *fileErrors) Error() string {
	return fmt.Sprintf("%d problems in service files, first: %s", len(e.problems), e.problems[0])
}

func refusedFilesResult(index uint64, err error) *command.Result {
	res := refusedResult(index, err)
	var e *fileErrors
	if errors.As(err, &e) {
		res.Problems = e.problems
	}
	return res
}

// parseFiles parses each file on its own.
func (s *State) parseFiles(files []command.File) ([]*source, error) {
	if len(files) == 0 {
		return nil, invalidf("publish without files")
	}
	var out []*source
	var problems []string
	seen := map[string]string{}
	for _, f := range files {
		parsed, fileProblems := s.checker.Parse(f)
		if len(fileProblems) > 0 {
			problems = append(problems, fileProblems...)
			continue
		}
		if other, duplicate := seen[parsed.Service]; duplicate {
			problems = append(problems, fmt.Sprintf("%s: service %q is also in %s", f.Name, parsed.Service, other))
		}
		seen[parsed.Service] = f.Name
		out = append(out, &source{Service: parsed.Service, Name: f.Name, Content: f.Content, file: parsed})
	}
	if len(problems) > 0 {
		return nil, &fileErrors{problems}
	}
	return out, nil
}

// checkVersion decides whether a file may replace the one in force. same is set
// when it equals the one in force.
func (s *State) checkVersion(src *source) (same bool, err error) {
	f := src.file
	old := s.sources[f.Service]
	if old == nil {
		return false, nil // a new group accepts files that have a history elsewhere
	}
	current := old.file.Version
	switch {
	case f.Version == current && digest(src) == digest(old):
		return true, nil
	case f.Version == current:
		return false, errors.WithType(errors.Errorf(
			"%s: version %d of service %s has other content; it was published by request %s from file %s at revision %d",
			src.Name, current, f.Service, old.RequestID, old.Name, old.Revision), fleet.ErrConflict)
	case f.Version != current+1:
		return false, errors.WithType(errors.Errorf("%s: version %d of service %s builds on version %d, but version %d is in force, published by request %s",
			src.Name, f.Version, f.Service, f.Version-1, current, old.RequestID), fleet.ErrStale)
	case f.Keyed() != old.file.Keyed():
		return false, invalidf("%s: service %s cannot change between keyed and not keyed; publish it under a new name", src.Name, f.Service)
	case f.Keyed() && f.Slices != old.file.Slices:
		return false, invalidf("%s: the number of slices of service %s is fixed at %d", src.Name, f.Service, old.file.Slices)
	}
	return false, nil
}

func digest(src *source) [sha256.Size]byte { return sha256.Sum256([]byte(src.Content)) }

// checkMergedFiles checks the set of all service files that a publish would result in.
func (s *State) checkMergedFiles(changed []*source) error {
	merged := map[string]*source{}
	for name, src := range s.sources {
		merged[name] = src
	}
	for _, src := range changed {
		merged[src.file.Service] = src
	}
	files := make([]command.File, 0, len(merged))
	for _, name := range sortedNames(merged) {
		files = append(files, command.File{Name: merged[name].Name, Content: merged[name].Content})
	}
	if problems := s.checker.CheckSet(files); len(problems) > 0 {
		return &fileErrors{problems}
	}
	return nil
}
