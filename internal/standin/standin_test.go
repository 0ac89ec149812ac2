package standin

import (
	"context"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agatestep/agatestep/internal/clock"
	"github.com/agatestep/agatestep/internal/wire"
)

// Guards against a server that checks orders and runs a request of a lost grant, and
// against one without checks that refuses requests.
func TestFenceChecksRequests(t *testing.T) {
	checked, checkedClock := startServer(t, Config{ChecksOrders: true, Entries: []string{newEntryHost(t, grantLeaseOnce()).addr()}})
	unchecked, _ := startServer(t, Config{})
	for _, c := range []struct {
		header, value, want string
	}{
		{"X-Other", "1", "200 answered"},
		{wire.HeaderLease, "6", "409 not-run stale-lease"},
		{wire.HeaderLease, "8", "409 not-run stale-lease"},
		{wire.HeaderEpoch, "9", "409 not-run stale-epoch"},
		{wire.HeaderEpoch, "11", "200 answered"},
		{wire.HeaderSlice, "8000000000000000", "409 not-run slice-not-held"},
		{"X-Key", keyInHalf(false), "409 not-run slice-not-held"},
		{wire.HeaderStartBy, "0", "409 not-run start-by-passed"},
		{wire.HeaderService, "other", "409 not-run wrong-service"},
		{wire.HeaderEpoch, "x", "409 not-run bad-headers"},
		{"X-Key", "", "409 not-run bad-headers"},
	} {
		if got := sendRequest(checked, c.header, c.value); got != c.want {
			t.Errorf("%s: %s: server with checks answers %q, want %q", c.header, c.value, got, c.want)
		}
		if got := sendRequest(unchecked, c.header, c.value); got != "200 answered" {
			t.Errorf("%s: %s: server without checks answers %q", c.header, c.value, got)
		}
	}
	checkedClock.Advance(time.Second)
	got := sendRequest(checked, wire.HeaderStartBy, "5000")
	is := is.New(t)
	is.Equal(got, "409 not-run lease-lapsed")
	is.Equal(len(checked.Executions()), 2) // the two requests that were answered
}

// Guards against orders that are accepted from a former dispatcher or for another
// incarnation.
func TestFenceChecksOrders(t *testing.T) {
	checked, _ := startServer(t, Config{ChecksOrders: true, Entries: []string{newEntryHost(t, grantLease).addr()}})
	unchecked, _ := startServer(t, Config{})
	for _, c := range []struct {
		want   string
		status int
		change func(*wire.OwnershipOrder)
	}{
		{"stale-epoch", 409, func(o *wire.OwnershipOrder) { o.Epoch = 9 }},
		{"stale-lease", 409, func(o *wire.OwnershipOrder) { o.Lease = 6 }},
		{"wrong-incarnation", 409, func(o *wire.OwnershipOrder) { o.Incarnation = "old" }},
		{"wrong-backend", 409, func(o *wire.OwnershipOrder) { o.Backend = "b2" }},
		{"wrong-service", 409, func(o *wire.OwnershipOrder) { o.Service = "other" }},
		{"", 200, nil},
		{"", 200, func(o *wire.OwnershipOrder) { o.Epoch = 11; o.Slices = nil }},
	} {
		status, reply := sendOrder(checked, c.change)
		if status != c.status || reply.Reason != c.want || reply.Accepted != (status == 200) {
			t.Errorf("want %d %q, got %d %+v", c.status, c.want, status, reply)
		}
		if status, _ := sendOrder(unchecked, c.change); status != 200 {
			t.Errorf("%s: server without checks answers %d", c.want, status)
		}
	}
	is := is.New(t)
	var held wire.OwnershipOrderReply
	status, _ := sendOrder(unchecked, func(o *wire.OwnershipOrder) { o.Slices[0].First = "zz" })
	is.Equal(status, http.StatusBadRequest)
	is.Equal(decodeReply(&held)(http.Get("http://"+checked.Addr()+wire.OrderPath)), http.StatusOK)
	is.Equal(held, wire.OwnershipOrderReply{Accepted: true, Incarnation: checked.Incarnation(), Epoch: 11, Slices: []wire.Range{}})
}

// Guards against work that is committed after the lease lapsed or the slice was revoked.
func TestNoCommitAfterGrantIsLost(t *testing.T) {
	for _, checks := range []bool{true, false} {
		var s *Server
		var fake *clock.Fake
		loseGrant := map[string]func(context.Context){
			"504 may-have-run deadline":     func(ctx context.Context) { <-ctx.Done() },
			"503 may-have-run lease-lapsed": func(context.Context) { fake.Advance(time.Second) },
			"503 may-have-run slice-not-held": func(context.Context) { // revoked and granted again
				sendOrder(s, func(o *wire.OwnershipOrder) { o.Epoch = 11; o.Slices = nil })
				sendOrder(s, func(o *wire.OwnershipOrder) { o.Epoch = 12 })
			},
			// Another slice moves, or another dispatcher takes over, during the work.
			"200 answered": func(context.Context) { sendOrder(s, func(o *wire.OwnershipOrder) { o.Epoch = 11; o.Lease = 8 }) },
		}
		for want, loseDuringWork := range loseGrant {
			work := func(ctx context.Context, _ *http.Request) error { loseDuringWork(ctx); return nil }
			s, fake = startServer(t, Config{ChecksOrders: checks, Work: work, Entries: []string{newEntryHost(t, grantLeaseOnce()).addr()}})
			late := strings.HasPrefix(want, "504")
			if !checks && !late {
				want = "200 answered"
			}
			got := sendRequest(s, wire.HeaderDeadline, map[bool]string{true: "30", false: "60000"}[late])
			if e := s.Executions(); got != want || len(e) != 1 || e[0].Committed != (want == "200 answered") {
				t.Errorf("checks %t: answer %q, want %q, executions %+v", checks, got, want, e)
			}
		}
	}
}

// Guards against a lease that counts from the arrival of the reply and not from when the
// announcement was sent.
func TestLeaseStartsAtSendTime(t *testing.T) {
	is := is.New(t)
	var f fence
	f.renew(100*time.Millisecond, 100*time.Millisecond, wire.AnnounceReply{LeaseMs: 1000, Lease: 2})
	f.renew(500*time.Millisecond, 500*time.Millisecond, wire.AnnounceReply{LeaseMs: 1000, Lease: 1}) // late reply of an old lease
	is.Equal(f.leaseUntil, 1100*time.Millisecond)
	fake, first := clock.NewFake(time.Unix(1000, 0)), grantLeaseOnce()
	entry := newEntryHost(t, func() wire.AnnounceReply {
		reply := first()
		fake.Advance(time.Duration(reply.LeaseMs) * 6 / 10 * time.Millisecond) // the reply with the lease is 600 ms late
		return reply
	})
	s, err := Start(Config{Backend: "b", Service: "s", Clock: fake, Interval: time.Millisecond, Entries: []string{entry.addr()}})
	is.NoErr(err)
	t.Cleanup(func() { _ = s.Close() })
	eventually(t, "the lease", func() bool { _, held := s.Lease(); return held })
	fake.Advance(399 * time.Millisecond)
	_, held := s.Lease()
	is.True(held)
	fake.Advance(time.Millisecond)
	_, held = s.Lease()
	is.True(!held)
}

// Guards against a queue that exceeds its length, and against a slot that is leaked when
// a waiting request is cancelled.
func TestSlotQueue(t *testing.T) {
	is := is.New(t)
	var pool slotPool
	acquired, err := pool.acquire(t.Context(), 1, 1)
	is.True(acquired && err == nil)
	cancelled, cancel := context.WithCancel(t.Context())
	errs := make(chan error)
	go func() { _, err := pool.acquire(cancelled, 1, 1); errs <- err }()
	eventually(t, "waiting", func() bool { _, queued := pool.load(); return queued == 1 })
	acquired, err = pool.acquire(t.Context(), 1, 1)
	is.True(!acquired && err == nil) // the queue is full
	cancel()
	is.True(<-errs != nil)
	go func() { _, err := pool.acquire(t.Context(), 1, 1); errs <- err }()
	eventually(t, "waiting", func() bool { _, queued := pool.load(); return queued == 1 })
	pool.release(1)
	is.NoErr(<-errs)
	running, queued := pool.load()
	is.True(running == 1 && queued == 0)
}

// Guards against a cold server that runs more requests than its cold limit, and
// against shedding without the verdict not-run.
func TestShedsAboveCapacity(t *testing.T) {
	is := is.New(t)
	running, finish := make(chan bool, 8), make(chan bool)
	s, fake := startServer(t, Config{Slots: 2, ColdFor: 5 * time.Second, ColdLimit: 1,
		Work: func(ctx context.Context, _ *http.Request) error { running <- true; return waitForFinish(ctx, finish) }})
	answers := make(chan string)
	run := func() { answers <- sendRequest(s) }
	go run()
	<-running
	is.Equal(sendRequest(s), "503 not-run cold")
	fake.Advance(5 * time.Second)
	go run()
	<-running
	is.Equal(sendRequest(s), "503 not-run shed")
	s.TurnCold(time.Second)
	finish <- true
	is.Equal(<-answers, "200 answered")
	is.Equal(sendRequest(s), "503 not-run cold")
	finish <- true
	is.Equal(<-answers, "200 answered")
	is.Equal(s.Stats(), Stats{Started: 2, Committed: 2, Shed: 3, ShedCold: 2, Orders: 1, PeakRunning: 2})
}

// Guards against a work time without the configured costs, and against load reports
// without their lag, which would make the router look better than it is.
func TestCostsAndLoadReports(t *testing.T) {
	is := is.New(t)
	s, fake := startServer(t, Config{WorkTime: 10 * time.Millisecond, ConnectionCost: time.Millisecond, ColdFor: time.Second,
		ColdSlow: 4, ReportLag: time.Second})
	is.Equal(s.workTime(true), 44*time.Millisecond)
	for _, want := range []wire.LoadReport{{}, {AgeMs: 600}, {AgeMs: 1200}, {InFlight: 1, AgeMs: 1200}} {
		is.Equal(s.reportedLoad(), want)
		_, _ = s.slotPool.acquire(t.Context(), 4, 0)
		fake.Advance(600 * time.Millisecond)
	}
	is.Equal(s.workTime(false), 10*time.Millisecond)
	s.SetFaults(Faults{SlowFactor: 10, LieLoad: true})
	is.Equal(s.workTime(true), 110*time.Millisecond)
	is.Equal(s.reportedLoad(), wire.LoadReport{})
}

// Guards against a stand-in that accepts more connections than it announces.
func TestConnectionLimit(t *testing.T) {
	is := is.New(t)
	s, _ := startServer(t, Config{Connections: 1}) // the connection that sent the order stays open
	conn, err := net.Dial("tcp", s.Addr())
	is.NoErr(err)
	is.NoErr(conn.SetDeadline(time.Now().Add(5 * time.Second)))
	_, err = conn.Read(make([]byte, 1))
	is.Equal(err, io.EOF)
	is.Equal(sendRequest(s), "200 answered") // over the open connection
}

// Guards against faults that have no effect when they are set over the control path.
func TestFaults(t *testing.T) {
	is := is.New(t)
	entry := newEntryHost(t, grantLease)
	s, _ := startServer(t, Config{Control: true, Entries: []string{entry.addr()}})
	control := func(body string) {
		status := decodeReply(nil)(http.Post("http://"+s.Addr()+ControlPath, "application/json", strings.NewReader(body)))
		is.Equal(status, http.StatusNoContent)
	}
	foreign := `200 answered id foreign-r1 body {"backend":"b1","service":"svc","request_id":"foreign-r1","key":"` + keyInHalf(true) + `","body_bytes":4}`
	for body, want := range map[string]string{
		`{"lose_answers":true}`: "no answer", `{"truncate_answers":true}`: "truncated",
		`{"foreign_ids":true}`: foreign, `{"turn_cold_ms":60000}`: "200 answered",
	} {
		control(body)
		is.Equal(sendRequest(s), want)
	}
	is.Equal(s.Stats().Committed, 4) // lost and truncated answers belong to executed requests
	_, cold := s.concurrencyLimit()
	is.True(cold)
	control(`{"freeze":true}`)
	answers := make(chan string, 1)
	go func() { sendOrder(s, nil); answers <- sendRequest(s) }()
	announced, _ := entry.countAndLast()
	eventually(t, "the arrival of the request", func() bool { return s.gate.waiting.Load() == 2 }) // and an announcement
	frozen, _ := entry.countAndLast()
	is.True(frozen <= announced+1) // one announcement may have been in transit
	is.True(s.Stats().Started == 4 && s.Stats().Orders == 1)
	control(`{}`)
	is.Equal(<-answers, "200 answered")
	eventually(t, "an announcement after the freeze", func() bool { n, _ := entry.countAndLast(); return n > announced+1 })
}

// Guards against a server that stops announcing when one entry host is lost.
func TestAnnounceFailover(t *testing.T) {
	dispatcher := newEntryHost(t, grantLease)
	second := newEntryHost(t, func() wire.AnnounceReply {
		return wire.AnnounceReply{LeaseMs: 1000, Lease: 7, AnnounceTo: dispatcher.addr()}
	})
	dispatcher.reply = second.reply
	dead := newEntryHost(t, grantLease)
	dead.Close()
	s, _ := startServer(t, Config{Entries: []string{dead.addr(), second.addr()}})
	eventually(t, "announcing to the dispatcher directly", func() bool { n, _ := dispatcher.countAndLast(); return n > 2 })
	reached, _ := second.countAndLast()
	dispatcher.Close()
	eventually(t, "falling back to an entry host", func() bool { n, _ := second.countAndLast(); return n > reached+2 })
	_, a := second.countAndLast()
	is.New(t).True(a.Epoch == 10 && a.Address == s.Addr())
}

// Guards against a drain that aborts requests in flight or is not announced to the
// dispatcher, and against executions that are missing from the record file.
func TestDrainFinishesAndRecordsRequests(t *testing.T) {
	is := is.New(t)
	entry := newEntryHost(t, grantLease)
	running, finish := make(chan bool, 8), make(chan bool)
	path := filepath.Join(t.TempDir(), "records")
	s, _ := startServer(t, Config{Entries: []string{entry.addr()}, RecordFile: path, ChecksOrders: true,
		Work: func(ctx context.Context, _ *http.Request) error { running <- true; return waitForFinish(ctx, finish) }})
	answers := make(chan string, 1)
	go func() { answers <- sendRequest(s) }()
	<-running
	drained := make(chan error, 1)
	go func() { drained <- s.Drain(t.Context()) }()
	eventually(t, "an announcement with Leaving", func() bool { _, a := entry.countAndLast(); return a.Leaving })
	entry.mu.Lock()
	entry.reply = func() wire.AnnounceReply { return wire.AnnounceReply{} } // released
	entry.mu.Unlock()
	is.Equal(len(drained), 0) // one request is in flight
	finish <- true
	is.Equal(<-answers, "200 answered")
	is.NoErr(<-drained)
	is.NoErr(s.Close())
	records, err := ReadRecords(path)
	is.NoErr(err)
	is.Equal(len(records), 1)
	want := s.Executions()[0]
	is.True(records[0].Start.Equal(want.Start) && records[0].Commit.Equal(want.Commit) && want.Committed)
	records[0].Start, records[0].Commit = want.Start, want.Commit // the same times, in another location
	is.Equal(records[0], want)
	is.True(want.RequestID == "r1" && want.Epoch == 10 && want.Lease == 7 && want.Key == keyInHalf(true))
}

// Guards against a check that misses violations or reports false ones.
func TestFindViolations(t *testing.T) {
	run := func(backend, id string, epoch uint64, start, commit int64) Execution {
		return Execution{Backend: backend, Incarnation: backend, Service: "s", Key: "k", RequestID: id, Epoch: epoch,
			Start: time.Unix(start, 0), Commit: time.Unix(commit, 0), Committed: true}
	}
	abandoned := run("b", "1", 1, 0, 9)
	abandoned.Committed = false
	for _, c := range []struct {
		want string
		a, b []Execution
	}{
		{"", []Execution{run("a", "1", 5, 0, 2), run("a", "2", 5, 1, 3)}, []Execution{run("b", "3", 6, 3, 4), abandoned}},
		{"committed 2 times", []Execution{run("a", "1", 5, 0, 1)}, []Execution{run("b", "1", 6, 2, 3)}},
		{"overlaps", []Execution{run("a", "1", 5, 0, 4), run("a", "2", 5, 1, 2)}, []Execution{run("b", "3", 6, 3, 4)}},
		{"without a higher epoch", []Execution{run("a", "1", 5, 0, 1)}, []Execution{run("b", "2", 5, 2, 3)}},
	} {
		got := strings.Join(FindViolations(c.a, c.b), "\n")
		if (got == "") != (c.want == "") || !strings.Contains(got, c.want) || strings.Contains(got, "\n") {
			t.Errorf("got %q, want one line with %q", got, c.want)
		}
	}
}
