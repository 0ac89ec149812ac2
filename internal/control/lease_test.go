package control

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agatestep/agatestep/internal/command"
	"github.com/agatestep/agatestep/internal/items"
	"github.com/agatestep/agatestep/internal/pack"
	"github.com/agatestep/agatestep/internal/table"
	"github.com/agatestep/agatestep/internal/wire"
)

// lapsedLeaseLog is a log whose leader lease is lapsed for a number of status reads.
type lapsedLeaseLog struct {
	*fakeLog
	lapsedReads atomic.Int32
}

func (l *lapsedLeaseLog) Status() LeaderStatus {
	st := l.fakeLog.Status()
	if l.lapsedReads.Add(-1) >= 0 {
		st.LeaseUntil = time.Time{}
	}
	return st
}

// A leader that is short of processor time receives the answers of its followers late.
// Guards against calls that are refused at once and retried at once, until the leader
// does nothing but refuse them.
func TestCallsWaitForLapsedLease(t *testing.T) {
	is, r := is.New(t), newHeartbeatFleet(t, 3)
	r.renew(1)
	slow := &lapsedLeaseLog{fakeLog: r.fakeLog}
	r.Leader.cfg.Proposer = slow
	for name, call := range map[string]func() (refused string){
		"a watch":     func() string { return r.Watch(ctx, wire.TableWatch{Host: "h1"}).Reason },
		"a renewal":   func() string { return r.renew(1).Reason },
		"a heartbeat": func() string { return r.sendHeartbeat("b000").Reason },
		"a read":      func() string { return r.ReadRevision(ctx).Reason },
	} {
		slow.lapsedReads.Store(4)
		if reason := call(); reason != "" {
			t.Errorf("%s is refused: %s", name, reason)
		}
	}
	slow.lapsedReads.Store(1 << 30)
	is.Equal(r.Watch(ctx, wire.TableWatch{Host: "h1"}).Reason, notLeaderReason(LeaderStatus{IsLeader: true})) // the wait is bounded
}

// Guards against a host that takes the table of a newly elected leader for the newest
// one, although it lacks commands that the previous leader has acknowledged.
func TestWatchIsRefusedUntilTermIsEstablished(t *testing.T) {
	is, g := is.New(t), newTestLeader()
	g.mustApply(t, command.Command{PatchItems: &command.PatchItems{Items: deskItems(1)}})
	g.proposeErr = ErrNotAppended // nothing of this term is committed yet
	reply := g.Watch(ctx, wire.TableWatch{Host: "h1"})
	is.True(reply.Reason != "" && len(reply.Snapshot) == 0 && len(reply.Delta) == 0)
	g.proposeErr = nil
	reply = g.Watch(ctx, wire.TableWatch{Host: "h1"})
	is.Equal(reply.Reason, "")
	is.Equal(reply.Current, g.state.Table().Revision())
}

// A host lags behind by several large changes. Guards against a separate request for each
// of them over a congested link, so that the host never catches up.
func TestLaggingHostGetsAllDeltasInOneReply(t *testing.T) {
	is, g := is.New(t), newTestLeader()
	for version := 1; version <= 5; version++ {
		list := deskItems(uint64(version))
		for i := range largeDeltaChanges {
			list = append(list, items.Item{Key: items.Key{Kind: items.KindRoute, Name: fmt.Sprint("r", i)}, Version: uint64(version),
				Route: &items.Route{Host: "a", PathPrefix: fmt.Sprint("/", i, "/"), Timeout: time.Second, Shares: []items.Share{{Service: "desk", Weight: 1}}}})
		}
		g.mustApply(t, command.Command{PatchItems: &command.PatchItems{Items: list}})
		g.mustApply(t, command.Command{BackendReported: &command.BackendReported{Service: "desk", Backend: "b", Born: int64(version), DataCentre: "dc1",
			Address: "10.0.0.1:80", Slots: 1}})
	}
	reply := g.Watch(ctx, wire.TableWatch{Host: "h1", Revision: 1})
	at := uint64(1)
	for _, packed := range append([][]byte{reply.Delta}, reply.More...) {
		encoded, err := pack.Unpack(packed)
		is.NoErr(err)
		d, err := table.DecodeDelta(encoded)
		is.NoErr(err)
		is.Equal(d.Base, at)
		at = d.Revision
	}
	is.Equal(at, g.state.Table().Revision())
	is.Equal(reply.Revision, at)
}

// Guards against hosts that get no tables while the leader is short of processor time or
// there is none, although they confirm the age of their tables by themselves, and against
// hosts that do not confirm it and get a table from a replica that may lag behind.
func TestAnyReplicaServesHostsThatConfirmTableAge(t *testing.T) {
	is, g := is.New(t), newTestLeader()
	g.populate(t, 4, 2)
	g.setStatus(func(s *LeaderStatus) { *s = LeaderStatus{LeaderHost: "h2", Term: 1} })
	reply := g.Watch(ctx, wire.TableWatch{Host: "h9", AnyReplica: true})
	is.Equal(reply.Reason, "")
	is.Equal(reply.Revision, g.state.Table().Revision())
	is.True(len(reply.Delta)+len(reply.Snapshot) > 0)
	reply = g.Watch(ctx, wire.TableWatch{Host: "h9"})
	is.Equal(reply.Reason, "not the leader")
	is.True(len(reply.Delta)+len(reply.Snapshot) == 0)
}
