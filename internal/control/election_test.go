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

// slowLog delays each commit and counts the elections that are proposed.
type slowLog struct {
	*fakeLog
	commitDelay time.Duration
	elections   atomic.Int32
}

func (l *slowLog) Propose(ctx context.Context, data []byte) (uint64, []byte, error) {
	if c, err := command.Decode(data); err == nil && c.LeaderElected != nil {
		l.elections.Add(1)
	}
	select {
	case <-time.After(l.commitDelay):
		return l.fakeLog.Propose(ctx, data)
	case <-ctx.Done():
		return 0, nil, ctx.Err()
	}
}

// After a power loss of all control hosts, calls with short timeouts arrive first and commits
// are slow. Guards against a leader whose first commit is cancelled with the call that started
// it and is started again and again, so that the leader answers no call.
func TestElectionCommitOutlivesItsFirstCaller(t *testing.T) {
	is, g := is.New(t), newTestLeader()
	slow := &slowLog{fakeLog: g.fakeLog, commitDelay: 300 * time.Millisecond}
	g.Leader.cfg.Proposer = slow
	stop := make(chan struct{})
	var shortCalls sync.WaitGroup
	for range 10 {
		shortCalls.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
					shortCtx, cancel := context.WithTimeout(ctx, slow.commitDelay/6)
					_ = g.Heartbeat(shortCtx, wire.Heartbeat{Service: "desk", Backend: "b"})
					cancel()
				}
			}
		})
	}
	defer shortCalls.Wait()
	defer close(stop)
	time.Sleep(slow.commitDelay / 10) // the calls with short timeouts come first
	longCtx, cancel := context.WithTimeout(ctx, 20*slow.commitDelay)
	defer cancel()
	reply := g.ReadRevision(longCtx)
	is.Equal(reply.Reason, "")
	is.True(reply.OK)
	is.Equal(slow.elections.Load(), int32(1))
}
