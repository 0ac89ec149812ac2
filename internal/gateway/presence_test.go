package gateway

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agatestep/agatestep/internal/items"
)

const testReuseAfter = 2 * time.Second

func at(seconds float64) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(seconds * float64(time.Second)))
}

// Guards against a server that is taken for another process although it answered so recently that
// nothing else can be at its address, and against the opposite.
func TestServerThatAnsweredRecentlyIsNotInDoubt(t *testing.T) {
	is := is.New(t)
	var p presence
	p.recordOwn(at(0), testReuseAfter)
	is.True(!p.recordMisdirected(at(1.9), 1, testReuseAfter))
	is.True(!p.inDoubt())
	is.True(p.recordMisdirected(at(2), 1, testReuseAfter))
	is.True(p.inDoubt())
	var never presence
	is.True(never.recordMisdirected(at(0), 1, testReuseAfter))
}

// Guards against a doubt that outlasts a response of the server itself, and against one that ends
// by a response from before another process got the address.
func TestOwnResponseEndsDoubt(t *testing.T) {
	for name, c := range map[string]struct {
		written float64 // the refusal came at 10 s
		ended   bool
	}{
		"written after the refusal":              {10.1, true},
		"written shortly before the refusal":     {8.1, true},
		"written before the address may be free": {7.9, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var p presence
			p.recordMisdirected(at(10), 1, testReuseAfter)
			is.Equal(p.recordOwn(at(c.written), testReuseAfter), c.ended)
			is.Equal(p.inDoubt(), !c.ended)
		})
	}
}

// Guards against more requests to a server in doubt than one for each interval, against repeats
// beyond the one that all services are charged for, and against a server that gets no trial after
// it was granted another slice.
func TestServerInDoubtGetsOnlyTrials(t *testing.T) {
	is := is.New(t)
	var p presence
	p.recordMisdirected(at(0), 5, testReuseAfter)
	is.True(!p.reserve(at(0.09), 5, firstAttempt)) // not due
	is.True(!p.reserve(at(0.1), 5, repeatedAttempt))
	is.True(p.reserve(at(0.1), 5, repeatedTrial))
	is.True(!p.reserve(at(0.1), 5, firstAttempt)) // one at a time
	is.True(p.reserve(at(0.1), 6, firstAttempt))  // granted since
	p.recordMisdirected(at(0.15), 6, testReuseAfter)
	is.True(!p.reserve(at(1), 6, repeatedTrial))
	sent := 0
	for ms := 1000; ms < 11_000; ms += 10 {
		if p.reserve(at(float64(ms)/1000), 6, firstAttempt) {
			sent++
			p.recordMisdirected(at(float64(ms)/1000), 6, testReuseAfter)
		}
	}
	is.True(sent >= 20 && sent <= 22) // one for each maxTrialInterval, more at first
}

// An owner was silent and lost its leases, and holds its keys again with the same epochs. Guards
// against a host that goes on refusing requests for them: the table does not change.
func TestReturningOwnerServesItsKeysAgain(t *testing.T) {
	is, w := is.New(t), newHarness(t)
	w.configure()
	var back atomic.Bool
	w.startBackend("desk", "b1", func(rw http.ResponseWriter, r *http.Request) {
		if back.Load() {
			respondHello(rw, r)
		} else {
			respondNotRun(http.StatusConflict)(rw, r)
		}
	})
	w.setOwner("b1", 9)
	w.sendMany(20, "GET", "/read/x")
	back.Store(true)
	w.gateway.server(w.tables().Backend("desk", "b1")).withPresence(func(p *presence) {
		is.True(p.inDoubt())
		is.True(p.nextTrial.Sub(p.lastMisdirected) <= maxTrialInterval)
		p.nextTrial = time.Time{}
	})
	is.Equal(w.sendMany(1, "GET", "/read/x"), 1)
	is.Equal(w.sendMany(20, "GET", "/read/x"), 20)
}

// Guards against a server of a service without keys that gets no requests for ever after it was in
// doubt, though others are not loaded.
func TestServerWithoutKeysIsTriedAgainAfterDoubt(t *testing.T) {
	is, w := is.New(t), newHarness(t)
	w.configure()
	w.startBackend("vault", "b1", firstThen(respondNotRun(http.StatusConflict), respondHello))
	w.startBackend("vault", "b2", respondHello)
	arrived := 0
	for arrived == 0 {
		w.sendMany(1, "POST", "/scan/x")
		arrived, _ = w.arrivals("b1")
	}
	b1 := w.gateway.server(w.tables().Backend("vault", "b1"))
	b1.withPresence(func(p *presence) { p.lastMisdirected = time.Now().Add(time.Hour) })
	is.Equal(w.sendMany(20, "POST", "/scan/x"), 20)
	arrived, _ = w.arrivals("b1")
	is.Equal(arrived, 1)
	b1.withPresence(func(p *presence) { p.lastMisdirected, p.nextTrial = time.Now().Add(-unkeyedTrialAfter), time.Time{} })
	is.Equal(w.sendMany(20, "POST", "/scan/x"), 20)
	is.True(!b1.inDoubt())
}

// Guards against requests that are held although their server is known to be gone, and against
// refusals during a handover, which ends soon.
func TestRequestForServerThatIsGoneIsRefusedAtOnce(t *testing.T) {
	for name, c := range map[string]struct {
		misdirected int
		refused     bool
	}{"handover": {1, false}, "gone": {2, true}} {
		t.Run(name, func(t *testing.T) {
			is, w := is.New(t), newHarness(t)
			w.configure()
			w.startBackend("desk", "b1", respondHello)
			w.setOwner("b1", 9)
			now := time.Now()
			w.gateway.server(w.tables().Backend("desk", "b1")).withPresence(func(p *presence) {
				p.misdirected, p.epoch, p.nextTrial = c.misdirected, 9, now.Add(maxTrialInterval)
			})
			request := &call{service: "desk", keyed: true, arrived: now, deadline: now.Add(time.Minute)}
			chosen, refusal, wait := w.gateway.ownerTarget(w.tables(), request, now)
			is.True(chosen.backend == nil)
			is.Equal(refusal != nil, c.refused)
			is.Equal(wait, maxTrialInterval) // until the next trial; the Retry-After if refused
		})
	}
}

// withPresence changes what the host knows about who is at the address of the server.
func (s *server) withPresence(change func(*presence)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.presence)
}

// Requests wait for permits while a response shows that another process is at the address of
// their server. Guards against sending them there nevertheless.
func TestRequestsHeldMeanwhileAreNotSentToServerInDoubt(t *testing.T) {
	is, w := is.New(t), newHarness(t)
	w.configure()
	var b1 *server
	w.startBackend("desk", "b1", func(rw http.ResponseWriter, r *http.Request) {
		b1.withPresence(func(p *presence) { p.misdirected, p.epoch, p.nextTrial = 1, 9, time.Now().Add(time.Hour) })
		respondNotRun(http.StatusConflict)(rw, r)
	})
	w.setOwner("b1", 9)
	b1 = w.gateway.server(w.tables().Backend("desk", "b1"))
	var asked atomic.Int64
	w.onPermitRequest = func() {
		for asked.Add(1) > 1 && !b1.inDoubt() {
			time.Sleep(time.Millisecond)
		}
	}
	w.sendMany(20, "GET", "/read/x")
	is.Equal(w.requestsReceived(), 1)
}

// Guards against a repeat to a server in doubt that is charged to the caller's service only: any
// service may get it, and its retry budget may be used up.
func TestTrialRepeatIsChargedToAllServices(t *testing.T) {
	for name, budget := range map[string]float64{"with budget": 1, "without": 0} {
		t.Run(name, func(t *testing.T) {
			is, w := is.New(t), newHarness(t)
			w.configure()
			w.startBackend("desk", "b1", respondHello)
			b1, own, other := w.tables().Backend("desk", "b1"), w.gateway.retryBudget("desk"), w.gateway.retryBudget("vault")
			for left, _ := other.Left(); left >= budget+1; left, _ = other.Left() {
				is.True(other.TrySpend())
			}
			repeat := &call{service: "desk", sends: 1, match: &items.Match{}}
			is.True(w.gateway.spendRetry(repeat, b1, own) == nil) // not in doubt
			left, _ := other.Left()
			is.True(left >= budget)
			w.gateway.server(b1).withPresence(func(p *presence) { p.misdirected = 1 })
			is.Equal(w.gateway.spendRetry(repeat, b1, own) == nil, budget > 0)
			left, _ = other.Left()
			is.True(left < 1)
		})
	}
}

// Guards against an explanation that names a server which is known to get no requests.
func TestExplainNamesServerInDoubt(t *testing.T) {
	is, w := is.New(t), newHarness(t)
	w.configure()
	w.startBackend("desk", "b1", respondNotRun(http.StatusConflict))
	w.setOwner("b1", 9)
	w.send("GET", "/read/x", nil)
	r, err := http.NewRequest("GET", "http://127.0.0.1/read/x", nil)
	is.NoErr(err)
	r.Header.Set("Agatestep-Hash", "abc")
	e := w.gateway.Explain(r)
	is.True(e.Refusal != nil)
	is.Equal(e.Services[0].Servers[0].Unusable, "another process may be at its address")
}
