package standin

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"

	"github.com/juju/errors"
)

// FindViolations looks for violated guarantees in the records of all stand-ins of
// a test, whose clocks must agree. It describes each violation in one line:
//
//   - a request id that was committed more than once,
//   - committed work of two servers that overlaps in time for one key,
//   - a key whose owner changed without a higher epoch.
//
// Executions without a key are checked only by their request id.
func FindViolations(records ...[]Execution) []string {
	byRequest, byKey := map[string][]Execution{}, map[string][]Execution{}
	for _, e := range slices.Concat(records...) {
		if !e.Committed {
			continue
		}
		byRequest[e.RequestID] = append(byRequest[e.RequestID], e)
		if e.Key != "" {
			byKey[e.Service+"/"+e.Key] = append(byKey[e.Service+"/"+e.Key], e)
		}
	}
	var violations []string
	for _, id := range slices.Sorted(maps.Keys(byRequest)) {
		if runs := byRequest[id]; len(runs) > 1 {
			violations = append(violations, fmt.Sprintf("request %q was committed %d times: %s, %s", id, len(runs), runs[0].describe(), runs[1].describe()))
		}
	}
	for _, key := range slices.Sorted(maps.Keys(byKey)) {
		violations = append(violations, findKeyViolations(key, byKey[key])...)
	}
	return violations
}

// findKeyViolations compares each execution of a key, in order of start, with the
// earlier ones of other servers.
func findKeyViolations(key string, executions []Execution) []string {
	slices.SortStableFunc(executions, func(a, b Execution) int {
		return cmp.Or(a.Start.Compare(b.Start), a.Commit.Compare(b.Commit))
	})
	var violations []string
	latest := map[string]Execution{} // by incarnation, the execution with the latest commit
	previous := executions[0]
	for _, e := range executions {
		for _, incarnation := range slices.Sorted(maps.Keys(latest)) {
			if other := latest[incarnation]; incarnation != e.Incarnation && other.Commit.After(e.Start) {
				violations = append(violations, fmt.Sprintf("key %q: work of %s overlaps with work of %s", key, e.describe(), other.describe()))
			}
		}
		if previous.Incarnation != e.Incarnation && e.Epoch <= previous.Epoch {
			violations = append(violations, fmt.Sprintf("key %q: %s follows %s without a higher epoch", key, e.describe(), previous.describe()))
		}
		if !e.Commit.Before(latest[e.Incarnation].Commit) {
			latest[e.Incarnation] = e
		}
		previous = e
	}
	return violations
}

// describe tells where and under which epoch an execution ran.
func (e Execution) describe() string {
	return fmt.Sprintf("%s (incarnation %s, epoch %d, request %q)", e.Backend, e.Incarnation, e.Epoch, e.RequestID)
}

// ReadRecords reads a record file. An incomplete last line, left by a crash, is
// skipped: its commit was not reported to anyone.
func ReadRecords(path string) ([]Execution, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, errors.Annotate(err, "reading records")
	}
	defer func() { _ = file.Close() }()
	var executions []Execution
	reader := bufio.NewReader(file)
	for {
		line, err := reader.ReadBytes('\n')
		if err == io.EOF {
			return executions, nil
		}
		if err != nil {
			return nil, errors.Annotate(err, "reading records")
		}
		var e Execution
		if err := json.Unmarshal(line, &e); err != nil {
			return nil, errors.Annotatef(err, "record %d of %s", len(executions)+1, path)
		}
		executions = append(executions, e)
	}
}
