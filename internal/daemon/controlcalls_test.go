package daemon

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/agatestep/agatestep/internal/clock"
	"github.com/agatestep/agatestep/internal/command"
	"github.com/agatestep/agatestep/internal/control"
	"github.com/agatestep/agatestep/internal/items"
	"github.com/agatestep/agatestep/internal/peer"
	"github.com/agatestep/agatestep/internal/timeline"
	"github.com/agatestep/agatestep/internal/wire"
)

// fakeLeader is a control host that replies to heartbeats with a given function.
type fakeLeader struct {
	address string
	calls   atomic.Int32
}

func newFakeLeader(t *testing.T, reply func(ctx context.Context) wire.HeartbeatReply) *fakeLeader {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	s, p := &fakeLeader{address: l.Addr().String()}, peer.NewServer(timeline.NewClock(time.Now))
	p.Register(wire.MethodHeartbeat, peer.Handle(func(ctx context.Context, _ wire.Heartbeat) (wire.HeartbeatReply, error) {
		s.calls.Add(1)
		return reply(ctx), nil
	}))
	go func() { _ = p.Serve(l, nil) }() // ends with its listener
	t.Cleanup(func() { _ = l.Close(); p.Close() })
	return s
}

func followerOf(leader *fakeLeader) *ControlHost {
	h := &ControlHost{process: &process{client: peer.NewClient(timeline.NewClock(time.Now), nil)}, knownLeader: newLeaderTracker()}
	h.knownLeader.set(leaderLocation{address: leader.address, term: 1})
	return h
}

func sendHeartbeat(ctx context.Context, h *ControlHost, timeout time.Duration) (wire.HeartbeatReply, error) {
	return callLeader(ctx, h, timeout, wire.MethodHeartbeat, wire.Heartbeat{Backend: "b"},
		func(context.Context, wire.Heartbeat) (wire.HeartbeatReply, error) {
			return wire.HeartbeatReply{}, errors.New("this host does not lead")
		}, isFinalHeartbeatReply)
}

// The leader is short of processor time, as after a power loss of all control hosts, when all
// backend servers report at once. Guards against hosts that repeat each call, which keeps it
// from leading for many seconds.
func TestSlowLeaderIsCalledOnce(t *testing.T) {
	is, ctx := is.New(t), context.Background()
	slow := newFakeLeader(t, func(ctx context.Context) wire.HeartbeatReply {
		pause(ctx, callTimeout)
		return wire.HeartbeatReply{Acked: true}
	})
	reply, err := sendHeartbeat(ctx, followerOf(slow), time.Minute)
	is.NoErr(err)
	is.True(reply.Acked)
	is.Equal(slow.calls.Load(), int32(1))
}

// A leader that cannot decide yet replies at once. Guards against calls that are repeated dozens
// of times within their timeout.
func TestUndecidedLeaderIsRetriedWithBackoff(t *testing.T) {
	is, ctx := is.New(t), context.Background()
	undecided := newFakeLeader(t, func(context.Context) wire.HeartbeatReply {
		return wire.HeartbeatReply{Reason: "the leader lease has run out"}
	})
	reply, err := sendHeartbeat(ctx, followerOf(undecided), callTimeout)
	is.True(err == nil && !reply.Acked || errors.Is(err, context.DeadlineExceeded))
	is.True(undecided.calls.Load() <= 6)

	var heartbeats atomic.Int32
	decidesLater := newFakeLeader(t, func(context.Context) wire.HeartbeatReply { return wire.HeartbeatReply{Acked: heartbeats.Add(1) == 2} })
	reply, err = sendHeartbeat(ctx, followerOf(decidesLater), time.Minute) // but it is called again
	is.NoErr(err)
	is.True(reply.Acked)
}

// Guards against a call that waits for a lost leader although this host knows the next one. A
// large change would wait for all of the four seconds in which it must be acknowledged.
func TestCallMovesToNextLeader(t *testing.T) {
	is, ctx := is.New(t), context.Background()
	called := make(chan struct{}, 1)
	lostLeader := newFakeLeader(t, func(ctx context.Context) wire.HeartbeatReply {
		called <- struct{}{}
		pause(ctx, time.Minute)
		return wire.HeartbeatReply{}
	})
	next := newFakeLeader(t, func(context.Context) wire.HeartbeatReply { return wire.HeartbeatReply{Acked: true} })
	h := followerOf(lostLeader)
	go func() {
		<-called
		h.knownLeader.set(leaderLocation{term: 2})
		h.knownLeader.set(leaderLocation{address: next.address, term: 2})
	}()
	reply, err := sendHeartbeat(ctx, h, time.Minute)
	is.NoErr(err)
	is.True(reply.Acked)
	is.Equal(lostLeader.calls.Load(), int32(1))
}

// An operator reads the configuration from a control host that does not lead, right after a
// change was acknowledged. Guards against an old configuration from a replica that lags, and
// against a read that transfers the whole configuration between hosts and times out.
func TestReadItemsWaitsForLocalReplica(t *testing.T) {
	is, ctx := is.New(t), context.Background()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	var revisionReads atomic.Int32
	server := peer.NewServer(timeline.NewClock(time.Now))
	defer server.Close()
	h := &ControlHost{process: &process{client: peer.NewClient(timeline.NewClock(time.Now), nil), logger: zap.NewNop(), clock: clock.Real{}},
		knownLeader: newLeaderTracker(), state: control.NewState(control.Checker{})}
	h.knownLeader.set(leaderLocation{address: l.Addr().String(), term: 1})
	apply := func(index uint64) {
		c := command.Command{PatchItems: &command.PatchItems{Items: []items.Item{{Key: items.Key{Kind: items.KindService, Name: "desk"},
			Version: index, Document: []byte("d"), Service: &items.Service{}}}}}
		data, err := c.Encode()
		is.NoErr(err)
		h.state.Apply(index, data)
	}
	apply(1)
	server.Register(wire.MethodReadRevision, peer.Handle(func(context.Context, wire.ReadRevision) (wire.ReadRevisionReply, error) {
		revisionReads.Add(1)
		go func() { // the follower lags by 50 ms
			time.Sleep(50 * time.Millisecond)
			apply(2)
		}()
		return wire.ReadRevisionReply{OK: true, Revision: 2}, nil
	}))
	go func() { _ = server.Serve(l, nil) }() // ends with its listener
	list, err := h.readItems(ctx, time.Minute)
	is.NoErr(err)
	is.Equal(len(list), 1)
	is.Equal(list[0].Version, uint64(2))
	is.Equal(revisionReads.Load(), int32(1))

	short, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
	defer cancel()
	_, err = h.state.ItemsAt(short, 3)
	is.True(errors.Is(err, context.DeadlineExceeded))
}
