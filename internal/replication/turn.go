package replication

import (
	"sync/atomic"
	"time"
)

// Stage is what the goroutine of a Node does at a moment.
type Stage int32

// The stages of a turn of a Node's goroutine.
const (
	StageWaiting Stage = iota // for a tick, a message or a request
	StageTake                 // of ticks, messages and requests
	StageSend
	StageStore // write and sync
	StageApply
	StagePublish
)

// String returns the name of the stage in log lines.
func (s Stage) String() string {
	return [...]string{"waiting", "take", "send", "store", "apply", "publish"}[s]
}

// turn is the progress of a Node's goroutine, for others to see.
type turn struct {
	stage atomic.Int32
	since atomic.Int64 // nanoseconds since processStart, so that steps of the wall clock do not matter
}

var processStart = time.Now()

func (t *turn) enter(s Stage) {
	t.stage.Store(int32(s))
	t.since.Store(int64(time.Since(processStart)))
}

// Turn returns the stage of the node's goroutine and how long it has been in it. It takes
// at least one turn a tick, so a longer time means that it is held up.
func (n *Node) Turn() (Stage, time.Duration) {
	t := &n.driver.turn
	return Stage(t.stage.Load()), time.Since(processStart) - time.Duration(t.since.Load())
}
