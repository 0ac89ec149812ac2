package control

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agatestep/agatestep/internal/command"
	"github.com/agatestep/agatestep/internal/wire"
)

// lapsing is a log whose leader is without its lease for some looks.
type lapsing struct {
	*log
	looks atomic.Int32
}

func (l *lapsing) Status() LeaderStatus {
	st := l.log.Status()
	if l.looks.Add(-1) >= 0 {
		st.LeaseUntil = time.Time{}
	}
	return st
}

// A leader short of processor time gets the answers of its followers late. Guards
// against calls that are refused at once and come back at once, until the leader does
// nothing but refuse them.
func TestCallsWaitForALeaseThatRanOut(t *testing.T) {
	is, r := is.New(t), newReporters(t, 3)
	r.renew(1)
	slow := &lapsing{log: r.log}
	r.Leader.cfg.Proposer = slow
	for name, call := range map[string]func() (refused string){
		"a watch":     func() string { return r.Watch(ctx, wire.TableWatch{Host: "h1"}).Reason },
		"a renewal":   func() string { return r.renew(1).Reason },
		"a heartbeat": func() string { return r.report("b000").Reason },
		"a read":      func() string { return r.ReadItems(ctx).Reason },
	} {
		slow.looks.Store(4)
		if reason := call(); reason != "" {
			t.Errorf("%s is refused: %s", name, reason)
		}
	}
	slow.looks.Store(1 << 30)
	is.Equal(r.Watch(ctx, wire.TableWatch{Host: "h1"}).Reason, notLeading(LeaderStatus{IsLeader: true})) // no wait without end
}

// Guards against a host that takes the table of a leader that was elected just now,
// which lacks what the one before has acknowledged, for the newest one.
func TestWatchIsAnsweredOnlyWithAllEarlierCommands(t *testing.T) {
	is, g := is.New(t), newGroup()
	g.must(t, command.Command{PatchItems: &command.PatchItems{Items: deskItems(1)}})
	g.fail = ErrDropped // nothing of its term is committed yet
	reply := g.Watch(ctx, wire.TableWatch{Host: "h1"})
	is.True(reply.Reason != "" && len(reply.Snapshot) == 0 && len(reply.Delta) == 0)
	g.fail = nil
	reply = g.Watch(ctx, wire.TableWatch{Host: "h1"})
	is.Equal(reply.Reason, "")
	is.Equal(reply.Current, g.state.Table().Revision())
}
