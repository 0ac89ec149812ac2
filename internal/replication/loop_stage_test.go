package replication_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agatestep/agatestep/internal/replication"
)

// stalledMachine is a state machine whose first command blocks until release is
// closed.
type stalledMachine struct {
	state
	entered, release chan struct{}
}

func (s *stalledMachine) Apply(uint64, []byte) []byte {
	close(s.entered)
	<-s.release
	return nil
}

// Guards against a blocked event loop that does not report that it is blocked,
// or in which stage.
func TestLoopStageShowsWhereReplicaIsStalled(t *testing.T) {
	is, g := is.New(t), newGroup(t, 1)
	s := &stalledMachine{entered: make(chan struct{}), release: make(chan struct{})}
	n, err := replication.Start(replication.Config{GroupID: "g", Tick: 5 * time.Millisecond, Storage: g.stores[0], Transport: g, StateMachine: s})
	is.NoErr(err)
	defer n.Stop()
	done := make(chan struct{})
	go func() {
		defer close(done)
		for n.Status().LeaseUntil.IsZero() {
			time.Sleep(time.Millisecond)
		}
		_, _, _ = n.Propose(context.Background(), []byte("c"))
	}()
	<-s.entered
	const held = 20 * time.Millisecond
	time.Sleep(held)
	stage, since := n.CurrentStage()
	is.Equal(stage.String(), "apply")
	is.True(since >= held)
	close(s.release)
	<-done
}
