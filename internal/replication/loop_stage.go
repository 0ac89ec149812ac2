package replication

import (
	"sync/atomic"
	"time"
)

// Stage is a stage of the event loop of a Node.
type Stage int32

// The stages of one iteration of the event loop.
const (
	StageWaiting Stage = iota // for a tick, a message or a request
	StageInput                // processes a tick, or queued messages or requests
	StageSend
	StageStore // writes and syncs
	StageApply
	StagePublish
)

// String returns the name of the stage as it appears in log lines.
func (s Stage) String() string {
	return [...]string{"waiting", "take", "send", "store", "apply", "publish"}[s]
}

// loopProgress is the current stage of a Node's event loop, readable by other
// goroutines.
type loopProgress struct {
	stage atomic.Int32
	since atomic.Int64 // start of the stage in nanoseconds since processStart, unaffected by wall-clock steps
}

var processStart = time.Now()

func (p *loopProgress) enter(s Stage) {
	p.stage.Store(int32(s))
	p.since.Store(int64(time.Since(processStart)))
}

// CurrentStage returns the current stage of the node's event loop and how long the loop has
// been in it. The loop runs at least once a tick, so a longer time means that it is blocked.
func (n *Node) CurrentStage() (Stage, time.Duration) {
	p := &n.driver.loop
	return Stage(p.stage.Load()), time.Since(processStart) - time.Duration(p.since.Load())
}
