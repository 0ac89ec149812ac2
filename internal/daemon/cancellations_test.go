package daemon

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agatestep/agatestep/internal/clock"
	"github.com/agatestep/agatestep/internal/coldlimit"
	"github.com/agatestep/agatestep/internal/permit"
	"github.com/agatestep/agatestep/internal/wire"
)

// Guards against a slot that is held for a request that has ended, because its permit request is
// the first one for its server, and against other permit requests that are dropped with it.
func TestCancelledPermitRequestCreatesNoQueue(t *testing.T) {
	is, issuer := is.New(t), newPermitIssuer(clock.Real{})
	key, other := permitKey("desk", "b1", 1), permitKey("desk", "b2", 1)
	issuer.releasePermit(key, wire.PermitRelease{ID: 7})
	requestPermit := func(key coldlimit.Key, id uint64) wire.PermitState {
		return issuer.requestPermit(context.Background(), key, 1, coldlimit.Rate{}, wire.PermitRequest{ID: id, TargetMs: 1000, LeftMs: 2000, ServiceMs: 100, PollMs: 10}).State
	}
	is.Equal(requestPermit(key, 7), wire.PermitUnavailable)
	is.Equal(len(issuer.queues), 0)
	is.Equal(requestPermit(key, 8), wire.PermitGranted)
	is.Equal(requestPermit(other, 7), wire.PermitGranted)
}

// Guards against memory that grows with the releases of permits that this host never issued, as
// after its restart.
func TestCancellationsAreBounded(t *testing.T) {
	is, cancelled, now := is.New(t), newCancellations(), time.Unix(1000, 0)
	key := func(n int) requestKey { return requestKey{permitKey("desk", "b1", 1), permit.ID(n)} }
	for n := range 3 * maxCancellations {
		cancelled.add(now, key(n))
		cancelled.add(now, key(n))
	}
	is.Equal(len(cancelled.at), maxCancellations)
	is.Equal(len(cancelled.order), maxCancellations)
	is.True(cancelled.has(now, key(3*maxCancellations-1)))
	is.True(!cancelled.has(now, key(0))) // the oldest goes first
	cancelled.removeExpired(now.Add(cancellationTTL))
	is.Equal(len(cancelled.at), 0)
	is.Equal(len(cancelled.order), 0)
}
