package session

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/agatestep/agatestep/internal/clock"
	"github.com/agatestep/agatestep/internal/command"
	"github.com/agatestep/agatestep/internal/table"
	"github.com/agatestep/agatestep/internal/wire"
)

var ctx = context.Background()

// control answers as the control group of a test; nil functions fail the call.
type control struct {
	clock *clock.Fake
	renew func(address string, req wire.SessionRenew) wire.SessionReply
	table wire.TableReply
	asked []string
}

func (c *control) Call(_ context.Context, address, method string, params, result any) error {
	c.asked = append(c.asked, address)
	switch {
	case method == wire.MethodTableWatch:
		*result.(*wire.TableReply) = c.table
	case c.renew == nil:
		return errors.New("no answer")
	default:
		*result.(*wire.SessionReply) = c.renew(address, params.(wire.SessionRenew))
	}
	return nil
}

func newSession() (*Session, *control) {
	c := &control{clock: clock.NewFake(time.Unix(1_000_000, 0))}
	return New(Config{
		Host: command.HostJoined{Host: "h1"}, Instance: "a", Caller: c, Clock: c.clock, Logger: zap.NewNop(),
		Replicas:    []Replica{{"h1", "a1"}, {"h2", "a2"}, {"h3", "a3"}},
		CallTimeout: time.Minute, WatchPoll: time.Minute, Record: func(string, string, string) {},
	}), c
}

// granting grants 1 s at a table revision of the leader after an answer that takes long.
func (c *control) granting(revision uint64, took time.Duration) {
	c.renew = func(string, wire.SessionRenew) wire.SessionReply {
		c.clock.Advance(took)
		return wire.SessionReply{Granted: true, TTLMs: 1000, Revision: revision}
	}
}

// follow brings the table of revision to the session.
func (c *control) follow(t *testing.T, s *Session, revision uint64) {
	t.Helper()
	next, err := table.Empty().Apply(table.NewBuilder(0).Delta(revision))
	snapshot, bad := next.Snapshot()
	if c.table = (wire.TableReply{Snapshot: snapshot}); err != nil || bad != nil || s.Watch(ctx) != nil {
		t.Fatalf("revision %d: %v %v", revision, err, bad)
	}
}

// Guards against a session that a freeze or a slow answer extends: it counts from
// when the renewal was sent.
func TestSessionCountsFromTheSend(t *testing.T) {
	is := is.New(t)
	s, c := newSession()
	sent := c.clock.Now()
	c.granting(0, 400*time.Millisecond)
	is.NoErr(s.Renew(ctx))
	is.Equal(s.ValidUntil().Sub(sent), time.Second)
	c.clock.Advance(600 * time.Millisecond)
	is.True(!s.Valid())
	c.granting(0, 2*time.Second) // frozen between the send and the answer
	is.NoErr(s.Renew(ctx))
	is.True(!s.Valid())
}

// Guards against a host that routes by a table older than one that may have been
// reported as in force without it, because its session had lapsed.
func TestLapsedSessionNeedsTheLeadersTable(t *testing.T) {
	is := is.New(t)
	s, c := newSession()
	c.follow(t, s, 5)
	c.granting(5, 0)
	is.NoErr(s.Renew(ctx))
	c.granting(7, 0)
	is.NoErr(s.Renew(ctx))
	is.True(s.Valid()) // renewed in time: the leader still waits for this host
	c.clock.Advance(time.Second)
	is.NoErr(s.Renew(ctx))
	is.True(!s.Valid())
	c.follow(t, s, 6)
	is.True(!s.Valid())
	c.follow(t, s, 7)
	is.True(s.Valid())
}

// Guards against a host that goes back to a lower revision, for example when a
// replica that was cut off for long answers.
func TestLowerRevisionIsRefused(t *testing.T) {
	is := is.New(t)
	s, c := newSession()
	c.follow(t, s, 9)
	c.follow(t, s, 3)
	is.Equal(s.Table().Revision(), uint64(9))
	delta, err := table.NewBuilder(3).Delta(10).Encode()
	is.NoErr(err)
	c.table = wire.TableReply{Delta: delta} // builds on a table that this host does not have
	is.True(s.Watch(ctx) != nil)
	is.Equal(s.Table().Revision(), uint64(9))
}

// Guards against a host that stays with a deposed leader, and against one that
// routes on after it gave up its session.
func TestSessionFindsTheLeaderAndCloses(t *testing.T) {
	is := is.New(t)
	s, c := newSession()
	c.renew = func(address string, req wire.SessionRenew) wire.SessionReply {
		if address != "a3" {
			return wire.SessionReply{Leader: "h3", Reason: "not the leader"}
		}
		return wire.SessionReply{Granted: !req.Closing, Closed: req.Closing, TTLMs: 1000}
	}
	is.NoErr(s.Renew(ctx))
	is.Equal(c.asked, []string{"a1", "a3"})
	c.renew = nil
	is.True(s.Close(ctx) != nil) // nobody answers, and the lease is given up even so
	c.granting(0, 0)
	is.True(s.Renew(ctx) != nil && !s.Valid()) // and not taken again
}
