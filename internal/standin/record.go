package standin

import (
	"encoding/json"
	"os"
	"slices"
	"time"

	"github.com/juju/errors"
)

// Execution is the record of one request that started to run.
type Execution struct {
	Backend     string `json:"backend"`
	Service     string `json:"service"`
	Incarnation string `json:"incarnation"`
	RequestID   string `json:"request_id"`
	Method      string `json:"method"`
	Path        string `json:"path"`
	Key         string `json:"key"`
	// Slice is the slice start as the request gave it, in hexadecimal.
	Slice string `json:"slice"`
	Epoch uint64 `json:"epoch"`
	Lease uint64 `json:"lease"`
	// Start and Commit are readings of the server's clock; Commit is zero unless
	// the work was committed.
	Start     time.Time `json:"start"`
	Commit    time.Time `json:"commit"`
	Committed bool      `json:"committed"`
	// Abandoned says why the work was not committed.
	Abandoned string `json:"abandoned,omitempty"`
}

// Stats are the counters of a stand-in.
type Stats struct {
	Started       int
	Committed     int
	Abandoned     int
	Refused       int // refused by the fence
	Shed          int // refused for load
	ShedCold      int // those of Shed that were refused while cold
	Probes        int
	Orders        int // accepted
	OrdersRefused int // refused or malformed
	Unrecorded    int // executions beyond Config.MaxExecutions
	PeakRunning   int
}

// recorder keeps executions. Server.mu guards it.
type recorder struct {
	executions []Execution
	limit      int
	file       *os.File
}

func newRecorder(path string, limit int) (recorder, error) {
	r := recorder{limit: limit}
	if path == "" {
		return r, nil
	}
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	r.file = file
	return r, errors.Annotate(err, "opening the record file")
}

// start records an execution that begins and returns its index, or -1 if the limit
// of executions in memory is reached.
func (r *recorder) start(e Execution) int {
	if len(r.executions) >= r.limit {
		return -1
	}
	r.executions = append(r.executions, e)
	return len(r.executions) - 1
}

// finish appends an execution to the file and replaces the one at index. A
// committed execution whose record cannot be written is not committed.
func (r *recorder) finish(index int, e Execution) error {
	err := r.write(e)
	if err != nil {
		e.Committed, e.Commit, e.Abandoned = false, time.Time{}, string(ReasonWorkFailed)
	}
	if index >= 0 {
		r.executions[index] = e
	}
	return err
}

func (r *recorder) write(e Execution) error {
	if r.file == nil {
		return nil
	}
	line, err := json.Marshal(e)
	if err != nil {
		return errors.Annotate(err, "encoding an execution")
	}
	_, err = r.file.Write(append(line, '\n'))
	return errors.Annotate(err, "appending to the record file")
}

func (r *recorder) close() error {
	if r.file == nil {
		return nil
	}
	return errors.Annotate(r.file.Close(), "closing the record file")
}

// Executions returns a copy of the executions, in order of their start.
func (s *Server) Executions() []Execution {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.records.executions)
}

// Stats returns the counters.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}
