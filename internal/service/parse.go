package service

import (
	"time"

	"github.com/agatestep/agatestep/internal/yamldoc"
)

// Problem is one mistake in a service file.
type Problem = yamldoc.Problem

// Limits on what a service file may state.
const (
	// MaxFileBytes bounds a service file; the control group stores each file.
	MaxFileBytes = 64 << 10
	// MaxSlices bounds the slices of one service.
	MaxSlices = 1 << 16
	// MaxSlots and MaxConnections bound one backend server.
	MaxSlots       = 10_000
	MaxConnections = 100_000
	// MaxDeadline bounds the time that a request may take.
	MaxDeadline = time.Hour
	// MaxEntries bounds each list of a service file.
	MaxEntries = 256
	// MaxClaims bounds the pairs of a host and a path prefix that one file
	// claims; every entry host keeps all of them in memory.
	MaxClaims = 1024
)

// Defaults for fields that a service file leaves out.
const (
	DefaultSlots             = 1
	DefaultConnections       = 128
	DefaultSlices            = 1024
	DefaultColdLimit         = 1
	DefaultRamp              = 5 * time.Second
	DefaultDeadline          = 2 * time.Second
	DefaultDeadlineMax       = 60 * time.Second
	maxCost                  = 10 * time.Second
	maxRamp                  = time.Hour
	maxBodyBytes       int64 = 1 << 40
)

// Parse reads and validates one service file. The file is nil when there are
// problems. Clashes with other files and expectations are left to CheckSet.
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
		doc.Add("", "the file has %d bytes; at most %d are allowed", len(content), MaxFileBytes)
		return parsedFile{name: name, doc: doc}
	}
	file := withDefaults()
	doc, ok := yamldoc.Decode(name, content, file)
	if !ok {
		return parsedFile{name: name, doc: doc}
	}
	provision(file, doc)
	validate(file, doc)
	return parsedFile{name: name, file: file, doc: doc}
}

func withDefaults() *File {
	return &File{
		Backend:     BackendShape{Slots: DefaultSlots, Connections: DefaultConnections},
		Deadline:    Deadline{Default: DefaultDeadline, Max: DefaultDeadlineMax},
		ColdStart:   ColdStart{Limit: DefaultColdLimit, Ramp: DefaultRamp},
		DataCentres: DataCentres{Prefer: "local"},
		Prefer:      PreferAvailability,
	}
}

// provision fills in the defaults that depend on other fields.
func provision(f *File, d *yamldoc.Document) {
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
		f.Deadline.Max = max(DefaultDeadlineMax, f.Deadline.Default)
	}
	if !d.Has("deadline.default") {
		f.Deadline.Default = min(DefaultDeadline, f.Deadline.Max)
	}
	for i := range f.Expect {
		f.Expect[i].Line = d.Line(itemField("expect", i))
	}
}
