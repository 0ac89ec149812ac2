package daemon

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agatestep/agatestep/internal/clock"
	"github.com/agatestep/agatestep/internal/coldgate"
	"github.com/agatestep/agatestep/internal/permit"
	"github.com/agatestep/agatestep/internal/wire"
)

// Guards against a place that is held for a request that is over because its ask is the first
// one that its server's queue gets, and against a server whose other asks are dropped with it.
func TestAskThatWasTakenBackOpensNoQueue(t *testing.T) {
	is, d := is.New(t), newPermitDesk(clock.Real{})
	key, other := permitKey("desk", "b1", 1), permitKey("desk", "b2", 1)
	d.done(key, wire.PermitDone{ID: 7})
	ask := func(key coldgate.Key, id uint64) wire.PermitState {
		return d.ask(context.Background(), key, 1, coldgate.Rate{}, wire.PermitAsk{ID: id, TargetMs: 1000, LeftMs: 2000, ServiceMs: 100, PollMs: 10}).State
	}
	is.Equal(ask(key, 7), wire.PermitUnable)
	is.Equal(len(d.queues), 0)
	is.Equal(ask(key, 8), wire.PermitGranted)
	is.Equal(ask(other, 7), wire.PermitGranted)
}

// Guards against a memory that grows with the reports of requests that this host was never asked
// about, as after its restart.
func TestAsksThatWereTakenBackAreForgotten(t *testing.T) {
	is, taken, now := is.New(t), newTakenBack(), time.Unix(1000, 0)
	key := func(n int) askKey { return askKey{permitKey("desk", "b1", 1), permit.ID(n)} }
	for n := range 3 * maxTakenBack {
		taken.add(now, key(n))
		taken.add(now, key(n))
	}
	is.Equal(len(taken.at), maxTakenBack)
	is.Equal(len(taken.order), maxTakenBack)
	is.True(taken.has(now, key(3*maxTakenBack-1)))
	is.True(!taken.has(now, key(0))) // the oldest goes first
	taken.clean(now.Add(takenBackFor))
	is.Equal(len(taken.at), 0)
	is.Equal(len(taken.order), 0)
}
