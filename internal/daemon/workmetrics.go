package daemon

import (
	"context"
	"encoding/json"
	"expvar"
	"time"

	"github.com/agatestep/agatestep/internal/control"
	"github.com/agatestep/agatestep/internal/peer"
	"github.com/agatestep/agatestep/internal/replication"
)

// controlWorkMetrics count what a control host spends its time on.
type controlWorkMetrics struct {
	// calls counts calls of other hosts by method; count and micros are the number of work
	// items and their time in microseconds, without waits, by kind.
	calls, count, micros *expvar.Map
	// wokenLateMs is the sum of the milliseconds by which a timer was late. It grows while
	// the process is short of processor time.
	wokenLateMs *expvar.Int
	// servicePermits counts the replies to permit requests for services without keys, by state.
	servicePermits *expvar.Map
}

var workMetrics = &controlWorkMetrics{
	calls: expvar.NewMap("agatestep_control_calls"), count: expvar.NewMap("agatestep_control_work"),
	micros: expvar.NewMap("agatestep_control_work_us"), wokenLateMs: expvar.NewInt("agatestep_control_woken_late_ms"),
	servicePermits: expvar.NewMap("agatestep_control_service_permits"),
}

func (w *controlWorkMetrics) recordWork(kind string, took time.Duration) {
	w.count.Add(kind, 1)
	w.micros.Add(kind, took.Microseconds())
}

// countCalls wraps the handler of a method to count its calls.
func (w *controlWorkMetrics) countCalls(method string, h peer.Handler) peer.Handler {
	return func(ctx context.Context, params json.RawMessage) (any, error) {
		w.calls.Add(method, 1)
		return h(ctx, params)
	}
}

// measuredState measures the work of the state machine. Its methods run in the goroutine
// of the replicated log, which also sends the heartbeats that keep the leader's lease.
type measuredState struct{ *control.State }

// Apply implements replication.StateMachine.
func (s measuredState) Apply(index uint64, command []byte) []byte {
	defer recordDuration("apply", time.Now())
	return s.State.Apply(index, command)
}

// Snapshot implements replication.StateMachine.
func (s measuredState) Snapshot() ([]byte, error) {
	defer recordDuration("snapshot", time.Now())
	return s.State.Snapshot()
}

// measuredStore measures the writes of the log.
type measuredStore struct{ replication.Storage }

// Append implements replication.Storage.
func (s measuredStore) Append(h replication.HardState, entries []replication.Entry) error {
	defer recordDuration("sync", time.Now())
	return s.Storage.Append(h, entries)
}

func recordDuration(kind string, began time.Time) { workMetrics.recordWork(kind, time.Since(began)) }
