package service

import (
	"time"

	"github.com/agatestep/agatestep/internal/yamldoc"
)

// Problem is one mistake in a service file.
type Problem = yamldoc.Problem

// Limits on the size and values of a service file.
const (
	// MaxFileBytes is the maximum size of a service file in bytes; the control
	// group stores each file.
	MaxFileBytes = 64 << 10
	// MaxSlices is the maximum number of slices of one service.
	MaxSlices = 1 << 16
	// MaxSlots and MaxConnections are the maxima for one backend server.
	MaxSlots       = 10_000
	MaxConnections = 100_000
	// MaxDeadline is the longest time that a request may take.
	MaxDeadline = time.Hour
	// MaxEntries is the maximum length of each list in a service file.
	MaxEntries = 256
	// MaxHostPrefixes is the maximum number of pairs of a host and a path prefix
	// that one file matches; every entry host keeps all of them in memory.
	MaxHostPrefixes = 1024
)

// Defaults for fields that a service file leaves out, and the maxima of further fields.
const (
	DefaultSlots             = 1
	DefaultConnections       = 128
	DefaultSlices            = 1024
	DefaultColdLimit         = 1
	DefaultColdRamp          = 5 * time.Second
	DefaultDeadline          = 2 * time.Second
	DefaultMaxDeadline       = 60 * time.Second
	maxSetupCost             = 10 * time.Second
	maxRamp                  = time.Hour
	maxBodyBytes       int64 = 1 << 40
)

// Parse decodes and validates one service file. The file is nil when there are
// problems. CheckSet also checks for conflicts with other files and for
// expectations that fail.
func Parse(name string, content []byte) (*File, []Problem) {
	parsed := parse(name, content)
	if problems := parsed.doc.Problems(); len(problems) > 0 {
		return nil, problems
	}
	return parsed.file, nil
}

// parsedFile is a file that may have problems. The file is nil when its
// content is not a YAML mapping.
type parsedFile struct {
	name string
	file *File
	doc  *yamldoc.Document
}

func parse(name string, content []byte) parsedFile {
	if len(content) > MaxFileBytes {
		doc, _ := yamldoc.Decode(name, []byte("{}"), &File{})
		doc.AddProblem("", "the file has %d bytes; at most %d are allowed", len(content), MaxFileBytes)
		return parsedFile{name: name, doc: doc}
	}
	file := newDefaultFile()
	doc, ok := yamldoc.Decode(name, content, file)
	if !ok {
		return parsedFile{name: name, doc: doc}
	}
	applyDerivedDefaults(file, doc)
	validate(file, doc)
	return parsedFile{name: name, file: file, doc: doc}
}

func newDefaultFile() *File {
	return &File{
		Backend:     BackendSpec{Slots: DefaultSlots, Connections: DefaultConnections},
		Deadline:    Deadline{Default: DefaultDeadline, Max: DefaultMaxDeadline},
		ColdStart:   ColdStart{Limit: DefaultColdLimit, Ramp: DefaultColdRamp},
		DataCentres: DataCentres{Prefer: "local"},
		Prefer:      PreferAvailability,
	}
}

// applyDerivedDefaults fills in the defaults that depend on other fields.
func applyDerivedDefaults(f *File, d *yamldoc.Document) {
	if f.Key != nil && !d.Has("key.path_segment") {
		f.Key.PathSegment = -1
	}
	if f.Key != nil && !d.Has("slices") {
		f.Slices = DefaultSlices
	}
	if !d.Has("backend.connections") {
		f.Backend.Connections = max(DefaultConnections, f.Backend.Slots)
	}
	if !d.Has("deadline.max") {
		f.Deadline.Max = max(DefaultMaxDeadline, f.Deadline.Default)
	}
	if !d.Has("deadline.default") {
		f.Deadline.Default = min(DefaultDeadline, f.Deadline.Max)
	}
	for i := range f.Expect {
		f.Expect[i].Line = d.Line(elementField("expect", i))
	}
}
