package control

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agatestep/agatestep/internal/command"
	"github.com/agatestep/agatestep/internal/wire"
)

// slowLog takes a while for each commit and notes how many elections it gets.
type slowLog struct {
	*log
	takes     time.Duration
	elections atomic.Int32
}

func (l *slowLog) Propose(ctx context.Context, data []byte) (uint64, []byte, error) {
	if c, err := command.Decode(data); err == nil && c.LeaderElected != nil {
		l.elections.Add(1)
	}
	select {
	case <-time.After(l.takes):
		return l.log.Propose(ctx, data)
	case <-ctx.Done():
		return 0, nil, ctx.Err()
	}
}

// After a power loss of all control hosts, calls with little patience come first and commits
// are slow. Guards against a leader whose first commit ends with the patience of whoever came
// first, so that it answers nobody, and is begun again and again.
func TestElectionOutlastsTheCallThatBeganIt(t *testing.T) {
	is, g := is.New(t), newGroup()
	slow := &slowLog{log: g.log, takes: 300 * time.Millisecond}
	g.Leader.cfg.Proposer = slow
	stop := make(chan struct{})
	var impatient sync.WaitGroup
	for range 10 {
		impatient.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
					short, cancel := context.WithTimeout(ctx, slow.takes/6)
					_ = g.Heartbeat(short, wire.Heartbeat{Service: "desk", Backend: "b"})
					cancel()
				}
			}
		})
	}
	defer impatient.Wait()
	defer close(stop)
	time.Sleep(slow.takes / 10) // the impatient come first
	patient, cancel := context.WithTimeout(ctx, 20*slow.takes)
	defer cancel()
	reply := g.ReadRevision(patient)
	is.Equal(reply.Reason, "")
	is.True(reply.OK)
	is.Equal(slow.elections.Load(), int32(1))
}
