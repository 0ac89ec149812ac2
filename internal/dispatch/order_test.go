package dispatch

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/agatestep/agatestep/internal/clock"
	"github.com/agatestep/agatestep/internal/command"
	"github.com/agatestep/agatestep/internal/service"
	"github.com/agatestep/agatestep/internal/table"
	"github.com/agatestep/agatestep/internal/verdict"
	"github.com/agatestep/agatestep/internal/wire"
	"github.com/matryer/is"
)

// advanceWithSweeps advances the clock in steps that sweep does not take for a pause of
// the process.
func (w *fixture) advanceWithSweeps(d time.Duration) {
	for ; d > 0; d -= 100 * time.Millisecond {
		w.advance(min(d, 100*time.Millisecond))
		now := w.clock.Now()
		w.waitFor("sweep", func() bool { w.d.mu.Lock(); defer w.d.mu.Unlock(); return w.d.lastSweep.Equal(now) })
	}
}

func proposesLoss(c *command.Command) bool {
	return c.BackendLost != nil && c.BackendLost.Incarnation == "i1"
}

// Guards against traffic before the order is confirmed: requests wait, bounded in
// number and time, and are then refused as not run.
func TestRequestsWaitForConfirmedOrder(t *testing.T) {
	w := newFixture(t, func(c *Config, _ *table.Backend, _ *service.File) { c.PendingLen = 1 })
	w.fake.mu.Lock()
	w.fake.refuseOrder = func(wire.OwnershipOrder) bool { return true }
	w.fake.mu.Unlock()
	w.updateBackend(func(r *table.Backend) { r.Epoch = 9 })
	w.True(w.announce().LeaseMs > 0)

	waiting := w.doAsync(context.Background(), w.request("waits", http.MethodPost, "x"))
	w.waitFor("pending", func() bool { return w.serverState(func(s *server) bool { return s.awaitingConfirmation == 1 }) })
	_, err := w.do(context.Background(), w.request("excess", http.MethodPost, "x"))
	w.Equal(err.Reason, verdict.ReasonNotConfirmed)
	w.Equal(err.Verdict, verdict.NotRun)

	w.fake.mu.Lock()
	w.fake.refuseOrder = nil
	w.fake.mu.Unlock()
	w.waitForRepeatedOrder()
	w.Equal(<-waiting, nil)
	w.Equal(w.fake.executionCount("waits"), 1)
	w.Equal(w.fake.executionCount("excess"), 0)
}

// Guards against two owners of a slice: a slice that is moved away is released only
// after its requests ended and an order without it was confirmed. Until then it stays
// in the order but gets no new request.
func TestReleaseWaitsForRequestsInFlight(t *testing.T) {
	w := newFixture(t, nil).announceAndConfirm()
	finish := w.holdRequest()
	w.releaseSlice(0)
	_, err := w.do(context.Background(), w.request("new", http.MethodPost, "x"))
	w.Equal(err.Reason, verdict.ReasonMoved)

	w.updateBackend(func(r *table.Backend) { r.Epoch = 9 }) // forces an order while the request is in flight
	w.waitFor("order of epoch 9", func() bool { o, _ := w.fake.lastOrder(); return o.Epoch == 9 })
	o, _ := w.fake.lastOrder()
	w.Equal(len(o.Slices), 2)
	w.True(!w.proposed(func(c *command.Command) bool { return c.Released != nil }))

	w.Equal(finish(), nil)
	w.waitFor("released", func() bool { return w.proposed(func(c *command.Command) bool { return c.Released != nil }) })
	o, _ = w.fake.lastOrder()
	w.Equal(o.Slices, []wire.Range{{First: "8000000000000000", Last: "ffffffffffffffff"}})
	w.Equal(o.Epoch, uint64(9)) // a smaller set of the same epoch
	w.Equal(w.proposals[0].Released, &command.Released{Service: "desk", Backend: "b1", Starts: []uint64{0}, Epochs: []uint64{5}})
	w.advance(minRetryInterval)
	w.waitFor("proposal repeated", func() bool { w.mu.Lock(); defer w.mu.Unlock(); return len(w.proposals) > 1 })
	w.Equal(w.fake.executionCount("new"), 0)
}

// Guards against a premature loss of a backend server: it is proposed only when the
// lease and its drift margin have expired, and a time in which this host could not
// receive announcements does not count.
func TestSilentServerIsProposedAsLost(t *testing.T) {
	w := newFixture(t, nil).announceAndConfirm()
	w.advanceWithSweeps(500 * time.Millisecond)
	w.announce()
	w.advanceWithSweeps(1010 * time.Millisecond)
	w.True(!w.proposed(proposesLoss)) // exactly at the end of lease and margin
	w.advanceWithSweeps(100 * time.Millisecond)
	w.waitFor("loss", func() bool { return w.proposed(proposesLoss) })

	for name, cutOff := range map[string]func(w *fixture){
		"session": func(w *fixture) { w.setSessionTTL(0); w.advanceWithSweeps(2 * time.Second); w.setSessionTTL(time.Hour) },
		"pause":   func(w *fixture) { w.advance(time.Minute); w.advanceWithSweeps(100 * time.Millisecond) },
	} {
		t.Run(name, func(t *testing.T) {
			w := newFixture(t, nil).announceAndConfirm()
			cutOff(w)
			w.advanceWithSweeps(800 * time.Millisecond)
			w.True(!w.proposed(proposesLoss))
			w.advanceWithSweeps(400 * time.Millisecond)
			w.waitFor("loss", func() bool { return w.proposed(proposesLoss) })
		})
	}
}

// Guards against a lapsed lease that keeps its number: a lapse on either clock raises
// the number, and the server then gets a new order and starts cold. Renewals on time
// keep the number.
func TestLapsedLeaseRaisesNumber(t *testing.T) {
	for _, c := range []struct {
		name            string
		local, onServer time.Duration
		raised          bool
	}{
		{"on time", 900 * time.Millisecond, 900 * time.Millisecond, false},
		{"lapsed", 1100 * time.Millisecond, 1100 * time.Millisecond, true},
		{"lapsed on a fast local clock", 995 * time.Millisecond, 900 * time.Millisecond, true},
		{"lapsed on the server's clock", 900 * time.Millisecond, 1000 * time.Millisecond, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newFixture(t, nil).announceAndConfirm()
			before, orders := w.announce().Lease, func() int { _, n := w.fake.lastOrder(); return n }
			first := orders()
			w.clock.Advance(c.local)
			w.clockMs += c.onServer.Milliseconds()
			w.announceAndConfirm()
			after := w.announce()
			w.Equal(after.Lease > before, c.raised)
			w.Equal(orders() > first, c.raised)
			_, err := w.do(context.Background(), w.request("r", http.MethodPost, "x"))
			w.Equal(err, nil)
			w.Equal(headerInt(w.fake.lastHeader, wire.HeaderLease), int64(after.Lease))
			w.True(headerInt(w.fake.lastHeader, wire.HeaderStartBy) <= w.clockMs+after.LeaseMs)
		})
	}
}

// Guards against a backend lease that outlives the session, and against an
// announcement that arrives after a later one and renews the lease.
func TestLeaseEndsWithSessionAndIgnoresStaleAnnouncement(t *testing.T) {
	w := newFixture(t, nil).announceAndConfirm()
	w.setSessionTTL(500 * time.Millisecond)
	w.Equal(w.announce().LeaseMs, int64(495)) // 500 ms less 1% drift
	w.clockMs -= 10
	w.Equal(w.announce().LeaseMs, int64(0))
	w.clockMs += 20
	w.setSessionTTL(0)
	w.Equal(w.announce().LeaseMs, int64(0))
}

// Takeover of a server that does not check orders: the order that it holds is read
// back and corrected before any traffic. Guards against an older order that replaces
// a newer one.
func TestOrderIsReadBackFromNonCheckingServer(t *testing.T) {
	w := newFixture(t, func(_ *Config, b *table.Backend, _ *service.File) { b.ChecksOrders = false })
	w.announceAndConfirm()
	w.fake.mu.Lock()
	reads := w.fake.reads
	w.fake.held = wire.OwnershipOrderReply{Accepted: true, Incarnation: "i1", Epoch: 99, Slices: []wire.Range{}}
	w.fake.mu.Unlock()
	w.True(reads >= 1)
	_, orders := w.fake.lastOrder()
	w.updateBackend(func(r *table.Backend) { r.Dispatcher, r.Epoch = "h2", 20 })
	w.updateBackend(func(r *table.Backend) { r.Dispatcher, r.Epoch = "h1", 30 })
	w.announce()
	w.waitFor("read back", func() bool { w.fake.mu.Lock(); defer w.fake.mu.Unlock(); return w.fake.reads > reads })
	r := w.request("r", http.MethodPost, "x")
	r.Deadline = w.clock.Now().Add(50 * time.Millisecond)
	_, err := w.do(context.Background(), r)
	w.Equal(err.Verdict, verdict.NotRun)
	_, after := w.fake.lastOrder()
	w.Equal(after, orders) // no order with epoch 30 while the server holds 99
	w.updateBackend(func(r *table.Backend) { r.Epoch = 100 })
	w.waitForRepeatedOrder()
	w.announceAndConfirm()
	o, _ := w.fake.lastOrder()
	w.Equal(len(o.Slices), 2) // corrected
}

// Guards against overload of a cold server whose dispatcher changes: the new one sends
// nothing while the server reports requests of the old one, for a bounded time.
func TestTakeoverWaitsForRequestsOfPreviousDispatcher(t *testing.T) {
	w := newFixture(t, nil).announceAndConfirm()
	busy := wire.Announcement{Backend: "b1", Service: "desk", Incarnation: "i1", ClockMs: w.clockMs, Load: &wire.LoadReport{InFlight: 1}}
	w.d.Announce(context.Background(), busy)
	second := w.doAsync(context.Background(), w.request("r", http.MethodPost, "x"))
	w.waitFor("queued", func() bool { return w.serverState(oneQueued) })
	w.advanceWithSweeps(90 * time.Millisecond)
	w.Equal(w.fake.executionCount("r"), 0)
	w.advanceWithSweeps(10 * time.Millisecond)
	w.Equal(<-second, nil)
	w.advance(takeoverHold)
	busy.ClockMs = w.clockMs
	w.d.Announce(context.Background(), busy)
	_, err := w.do(context.Background(), w.request("r2", http.MethodPost, "x"))
	w.Equal(err, nil)
}

// The order to a frozen server times out: requests are refused as not run, and the
// server gets traffic again after it resumes.
func TestFrozenServerGetsNoTraffic(t *testing.T) {
	w := newFixture(t, func(c *Config, _ *table.Backend, _ *service.File) { c.OrderTimeout = 20 * time.Millisecond })
	w.announceAndConfirm()
	w.fake.mu.Lock() // orders and requests block
	w.updateBackend(func(r *table.Backend) { r.Epoch = 9 })
	r := w.request("r", http.MethodPost, "x")
	r.Deadline = w.clock.Now().Add(60 * time.Millisecond)
	_, err := w.do(context.Background(), r)
	w.fake.mu.Unlock()
	w.Equal(err.Verdict, verdict.NotRun)
	w.waitForRepeatedOrder()
	w.announceAndConfirm()
	_, err = w.do(context.Background(), w.request("r2", http.MethodPost, "x"))
	w.Equal(err, nil)
	w.Equal(w.fake.executionCount("r"), 0)
}

// Guards against requests sent by an outdated table: a request for another owner,
// epoch or dispatcher is refused as moved.
func TestRequestByOutdatedTableIsRefusedAsMoved(t *testing.T) {
	for name, change := range map[string]func(w *fixture){
		"owner":      func(w *fixture) { w.moveSlice(0, "b2", 8) },
		"epoch":      func(w *fixture) { w.moveSlice(0, "b1", 8) },
		"dispatcher": func(w *fixture) { w.updateBackend(func(r *table.Backend) { r.Dispatcher = "h2" }) },
		"lost":       func(w *fixture) { w.updateBackend(func(r *table.Backend) { r.Lost = true }) },
		"split": func(w *fixture) {
			w.updateTable(func(b *table.Builder) {
				b.PutSlice("desk", table.Slice{Start: 1, Owner: "b2", Epoch: 8, State: table.SliceOwned})
			})
		},
	} {
		t.Run(name, func(t *testing.T) {
			w := newFixture(t, nil).announceAndConfirm()
			change(w)
			_, err := w.do(context.Background(), w.request("r", http.MethodPost, "x"))
			w.Equal(err.Verdict, verdict.NotRun)
			w.Equal(err.Reason, verdict.ReasonMoved)
			w.Equal(w.fake.executionCount("r"), 0)
		})
	}
}

// Guards against new requests to a server without keys that operators drain: it still
// has a lease, and there is no slice to move.
func TestDrainedServerGetsNoUnkeyedRequest(t *testing.T) {
	w := newFixture(t, nil).announceAndConfirm()
	r := w.request("r", http.MethodPost, "x")
	r.Keyed = false
	w.updateBackend(func(r *table.Backend) { r.Draining = true })
	_, err := w.do(context.Background(), r)
	w.True(err != nil && err.Verdict == verdict.NotRun && err.Reason == verdict.ReasonMoved)
	w.Equal(w.fake.executionCount("r"), 0)
}

// Planned stop of a backend server: it gets no new request, idle slices move at once,
// requests in flight end, the server confirms an empty order, and only then its loss is
// proposed.
func TestLeavingServerIsDrained(t *testing.T) {
	w := newFixture(t, nil).announceAndConfirm()
	finish := w.holdRequest()
	a := wire.Announcement{Backend: "b1", Service: "desk", Incarnation: "i1", ClockMs: w.clockMs, Leaving: true}
	w.d.Announce(context.Background(), a)
	_, err := w.do(context.Background(), w.request("new", http.MethodPost, "x"))
	w.Equal(err.Verdict, verdict.NotRun)
	w.waitFor("move of the idle slice", func() bool {
		return w.proposed(func(c *command.Command) bool {
			return c.Move != nil && len(c.Move.Moves) == 1 && c.Move.Moves[0] == command.SliceMove{Start: upperSliceStart, Epoch: 6, To: "b2"}
		})
	})
	w.True(!w.proposed(proposesLoss))
	w.Equal(finish(), nil)
	// The move may be proposed once more before the end of the request is recorded, and the
	// loss then waits for the retry interval.
	w.waitFor("loss", func() bool { w.advance(2 * time.Millisecond); return w.proposed(proposesLoss) })
	o, _ := w.fake.lastOrder()
	w.Equal(len(o.Slices), 0)
}

// A dispatcher that stops refuses new requests as not run, waits for those in flight
// and renews their lease meanwhile.
func TestShutdownWaitsForRequestsInFlight(t *testing.T) {
	w := newFixture(t, nil).announceAndConfirm()
	finish := w.holdRequest()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	w.Equal(w.d.Shutdown(ctx), context.Canceled) // does not end before the request
	_, err := w.do(context.Background(), w.request("new", http.MethodPost, "x"))
	w.Equal(err.Reason, verdict.ReasonShutdown)
	w.True(w.announce().LeaseMs > 0)
	w.Equal(finish(), nil)
	w.Equal(w.d.Shutdown(context.Background()), nil)
	loads := w.d.TakeLoads()
	w.Equal(loads[0].Slices, []wire.SliceCount{{Start: 0, Count: 1}})
	w.Equal(loads[0].Keys, []wire.KeyCount{{Hash: 1, Count: 1}})
	w.Equal(len(w.d.TakeLoads()), 0) // counted once
}

// Invalid announcements get a 400 that names the field, unknown servers and new
// incarnations are proposed once, and the others are relayed to their dispatcher.
func TestAnnounceHandler(t *testing.T) {
	good := `{"backend":"%s","service":"desk","incarnation":"%s","data_centre":"a","address":"%s","slots":2,"connections":9,"checks_orders":true,"clock_ms":1,"epoch":0}`
	relayed := 0
	w := newFixture(t, func(c *Config, _ *table.Backend, _ *service.File) {
		c.RelayAnnounce = func(context.Context, string, wire.Announcement) (wire.AnnounceReply, error) {
			relayed++
			return wire.AnnounceReply{LeaseMs: 77}, nil
		}
	})
	post := func(body string) (int, string) {
		rec := httptest.NewRecorder()
		w.d.AnnounceHandler().ServeHTTP(rec, httptest.NewRequest(http.MethodPost, wire.AnnouncePath, strings.NewReader(body)))
		return rec.Code, rec.Body.String()
	}
	for _, c := range []struct{ body, want string }{
		{"{", "not valid JSON"},
		{`{"backnd":"x"}`, "backnd"},
		{fmt.Sprintf(good, "b1", "i1", "x") + "{}", "other data"},
		{fmt.Sprintf(good, "b/1", "i1", "127.0.0.1:80"), `"backend"`},
		{fmt.Sprintf(good, "b1", "", "127.0.0.1:80"), `"incarnation"`},
		{fmt.Sprintf(good, "b1", "i1", "localhost:80"), `"address"`},
		{strings.Replace(fmt.Sprintf(good, "b1", "i1", "127.0.0.1:80"), `"slots":2`, `"slots":0`, 1), `"slots"`},
	} {
		is := is.New(t)
		code, body := post(c.body)
		is.Equal(code, 400)
		is.True(strings.Contains(body, c.want))
	}
	announced := func(name, incarnation string) bool {
		return w.proposed(func(c *command.Command) bool {
			a := c.BackendAnnounced
			return a != nil && a.Backend == name && a.Incarnation == incarnation
		})
	}
	code, _ := post(fmt.Sprintf(good, "b2", "i1", "127.0.0.1:80"))
	w.Equal(code, 200)
	w.True(announced("b2", "i1"))
	post(fmt.Sprintf(good, "b1", "i2", "127.0.0.1:80"))
	w.True(!announced("b1", "i2")) // the lease of i1 at another address may hold
	post(fmt.Sprintf(good, "b1", "i2", w.fake.address()))
	w.True(announced("b1", "i2"))
	w.updateBackend(func(r *table.Backend) { r.Lost = true })
	post(fmt.Sprintf(good, "b1", "i1", w.fake.address()))
	w.True(announced("b1", "i1"))
	w.updateBackend(func(r *table.Backend) { r.Lost, r.Dispatcher = false, "h2" })
	_, body := post(fmt.Sprintf(good, "b1", "i1", w.fake.address()))
	w.True(strings.Contains(body, `"lease_ms":77`) && relayed == 1)
}

// Guards against announcements that crash a host or hold names that would break headers.
func FuzzAnnouncement(f *testing.F) {
	good := `{"backend":"b","service":"s","incarnation":"i","data_centre":"d","address":"127.0.0.1:1","slots":1,"connections":2}`
	f.Add(good)
	for _, edit := range [][2]string{{"}", "}{}"}, {`"b"`, `"b\n"`}, {":1\"", ":0\""}, {`"slots":1`, `"slots":1e9`}, {"127.0.0.1", "0.0.0.0"},
		{"{", `{"clock_ms":-1,`}, {"{", `{"load":{"in_flight":-1},`}, {"2}", "2"}} {
		f.Add(strings.Replace(good, edit[0], edit[1], 1))
	}
	f.Fuzz(func(t *testing.T, body string) {
		a, err := readAnnouncement(strings.NewReader(body))
		if err != nil {
			return
		}
		is.New(t).True(a.Slots >= 1 && a.Connections >= 2 && a.ClockMs >= 0)
		is.New(t).True(!strings.ContainsAny(a.Backend+a.Service+a.Incarnation+a.DataCentre, "/\r\n \x00"))
	})
}

// Guards against relayed headers that crash a dispatcher or yield a request without
// valid fencing.
func FuzzRelayedHeaders(f *testing.F) {
	f.Add("id", "s", "b", "9223372036854775807", "", "")
	f.Add("", "s", "b", "-1", "xyz", "1e3")
	f.Add("id", "s", "b", "9223372036854775807", "ffffffffffffffffff", "-1")
	f.Fuzz(func(t *testing.T, id, service, backend, ms, hash, epoch string) {
		is := is.New(t)
		d := &Dispatcher{cfg: Config{Clock: clock.NewFake(time.Unix(1000, 0))}}
		in := httptest.NewRequest(http.MethodPost, "/x", strings.NewReader("body"))
		for name, value := range map[string]string{wire.HeaderRequestID: id, wire.HeaderService: service, wire.HeaderBackend: backend,
			wire.HeaderTimeoutMs: ms, wire.HeaderHash: hash, wire.HeaderEpoch: epoch} {
			in.Header.Set(name, value)
		}
		r, refusal := d.parseRelayed(httptest.NewRecorder(), in)
		if refusal != nil {
			is.Equal(refusal.Verdict, verdict.NotRun)
			return
		}
		is.True(r.ID != "" && r.Service != "" && r.Backend != "" && r.Deadline.Unix() >= 1000 && r.Keyed == (hash != ""))
	})
}

// A new dispatcher waits for a silent backend server for a short time only when no
// earlier lease can be valid. Guards against a lease that is granted during a handover.
func TestTakeoverWaitsForEarlierLease(t *testing.T) {
	for _, leaseOver := range []bool{true, false} {
		w := newFixture(t, nil)
		w.updateBackend(func(r *table.Backend) { r.Dispatcher = "h2" })
		w.advanceWithSweeps(2 * time.Second)
		w.updateBackend(func(r *table.Backend) { r.Dispatcher, r.LeaseOver = "h1", leaseOver })
		w.advanceWithSweeps(500 * time.Millisecond)
		w.True(!w.proposed(proposesLoss))
		w.advanceWithSweeps(200 * time.Millisecond)
		if !leaseOver {
			w.advanceWithSweeps(300 * time.Millisecond)
			w.True(!w.proposed(proposesLoss)) // a lease from the previous dispatcher may still be valid
			w.advanceWithSweeps(100 * time.Millisecond)
		}
		w.waitFor("loss", func() bool { return w.proposed(proposesLoss) })
	}
	w := newFixture(t, nil).announceAndConfirm()
	w.updateBackend(func(r *table.Backend) { r.NextDispatcher = "h2" })
	reply := w.d.Announce(context.Background(), wire.Announcement{Backend: "b1", Service: "desk", Incarnation: "i1", ClockMs: w.clockMs + 1})
	w.Equal(reply.LeaseMs, int64(0))
	w.waitFor("report", func() bool { return w.proposed(func(c *command.Command) bool { return c.HandedOver != nil }) })
}

// A hot slice is split during a long upload for one of its keys, and the part without that
// key moves away. Guards against the upload being dropped: it names the start of the slice
// before the split, and the server drops it when it releases the part that begins there.
func TestSplitSliceIsHeldWhileRequestIsInFlight(t *testing.T) {
	w := newFixture(t, nil).announceAndConfirm()
	ended, finish := false, w.holdRequest()
	t.Cleanup(func() {
		if !ended {
			_ = finish() // the test has failed; its server waits for the request
		}
	})
	whole, _ := w.table.Load().Lookup("desk", 0)
	key := w.request("", "", "").Hash
	rest, hot := whole, whole
	rest.Last, hot.Start = key-1, key
	w.updateTable(func(b *table.Builder) { b.PutSlice("desk", rest); b.PutSlice("desk", hot) })
	w.releaseSlice(0)
	w.updateBackend(func(r *table.Backend) { r.Epoch = 9 }) // forces an order while the request is in flight
	w.waitFor("order of epoch 9", func() bool { o, _ := w.fake.lastOrder(); return o.Epoch == 9 })
	o, _ := w.fake.lastOrder()
	w.Equal(len(o.Slices), 3)
	w.True(!w.proposed(func(c *command.Command) bool { return c.Released != nil }))
	ended = true
	w.Equal(finish(), nil)
	w.waitFor("released", func() bool { return w.proposed(func(c *command.Command) bool { return c.Released != nil }) })
}
