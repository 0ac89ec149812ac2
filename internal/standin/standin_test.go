package standin

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agatestep/agatestep/internal/clock"
	"github.com/agatestep/agatestep/internal/service"
	"github.com/agatestep/agatestep/internal/verdict"
	"github.com/agatestep/agatestep/internal/wire"
)

// entryHost answers announcements with reply and keeps them.
type entryHost struct {
	*httptest.Server
	mu    sync.Mutex
	reply func() wire.AnnounceReply
	heard []wire.Announcement
}

func newEntry(t *testing.T, reply func() wire.AnnounceReply) *entryHost {
	e := &entryHost{reply: reply}
	e.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var a wire.Announcement
		_ = json.NewDecoder(r.Body).Decode(&a)
		e.mu.Lock()
		defer e.mu.Unlock()
		e.heard = append(e.heard, a)
		_ = json.NewEncoder(w).Encode(e.reply())
	}))
	t.Cleanup(e.Close)
	return e
}

func (e *entryHost) addr() string { return e.Listener.Addr().String() }

func (e *entryHost) count() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.heard)
}

// grant replies with lease 7 for one second.
func grant() wire.AnnounceReply { return wire.AnnounceReply{LeaseMs: 1000, Lease: 7} }

// once replies with grant to the first announcement and with no lease later.
func once() func() wire.AnnounceReply {
	granted := false
	return func() wire.AnnounceReply {
		if granted {
			return wire.AnnounceReply{}
		}
		granted = true
		return grant()
	}
}

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	limit := time.After(5 * time.Second)
	for tick := time.NewTicker(time.Millisecond); !condition(); {
		select {
		case <-limit:
			t.Fatalf("%s did not happen within 5 s", what)
		case <-tick.C:
		}
	}
}

// start runs a stand-in on a fake clock with a lease, if it has entry hosts,
// and with an order of epoch 10 for the lower half of the hashes.
func start(t *testing.T, c Config) (*Server, *clock.Fake) {
	t.Helper()
	fake := clock.NewFake(time.Unix(1000, 0))
	c.Backend, c.Service, c.KeyHeader, c.Clock, c.Interval = "b1", "svc", "X-Key", fake, time.Millisecond
	s, err := Start(c)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	if len(c.Entries) > 0 {
		eventually(t, "the first lease", func() bool { number, _ := s.Lease(); return number == 7 })
	}
	if status, _ := sendOrder(s, nil); status != http.StatusOK {
		t.Fatalf("order answered with %d", status)
	}
	return s, fake
}

func sendOrder(s *Server, change func(*wire.Order)) (int, wire.OrderReply) {
	o := wire.Order{Service: "svc", Backend: "b1", Incarnation: s.Incarnation(), Epoch: 10, Lease: 7, Keyed: true,
		Slices: []wire.Range{{First: "0", Last: "7fffffffffffffff"}}}
	if change != nil {
		change(&o)
	}
	body, _ := json.Marshal(o)
	response, err := http.Post("http://"+s.Addr()+wire.OrderPath, "application/json", bytes.NewReader(body))
	if err != nil {
		return 0, wire.OrderReply{}
	}
	defer func() { _ = response.Body.Close() }()
	var reply wire.OrderReply
	_ = json.NewDecoder(response.Body).Decode(&reply)
	return response.StatusCode, reply
}

// await keeps a request at work until finish is sent or its caller gave up.
func await(ctx context.Context, finish chan bool) error {
	select {
	case <-finish:
	case <-ctx.Done():
	}
	return ctx.Err()
}

// keyIn returns a key whose hash is in the lower or the upper half.
func keyIn(lower bool) string {
	for i := 0; ; i++ {
		if key := strconv.Itoa(i); (service.HashKey(key) < 1<<63) == lower {
			return key
		}
	}
}

// send forwards a request under lease 7 and epoch 10, with headers changed as
// given, and describes the answer as "status verdict reason".
func send(s *Server, headers ...string) (string, *Answer) {
	r, _ := http.NewRequest("POST", "http://"+s.Addr()+"/x", strings.NewReader("body"))
	for name, value := range map[string]string{
		wire.HeaderRequestID: "r1", wire.HeaderService: "svc", wire.HeaderEpoch: "10", wire.HeaderLease: "7",
		wire.HeaderSlice: "0000000000000000", wire.HeaderStartBy: "900", "X-Key": keyIn(true),
	} {
		r.Header.Set(name, value)
	}
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	response, err := (&http.Client{Timeout: 5 * time.Second}).Do(r)
	if err != nil {
		return "no answer", nil
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return "truncated", nil
	}
	var answer Answer
	_ = json.Unmarshal(body, &answer)
	got := strconv.Itoa(response.StatusCode) + " " + response.Header.Get(verdict.Header) + " " + response.Header.Get(verdict.ReasonHeader)
	if id := response.Header.Get(wire.HeaderRequestID); id != r.Header.Get(wire.HeaderRequestID) {
		got += " id " + id
	}
	return strings.Join(strings.Fields(got), " "), &answer
}

// Guards against a checking server that runs a request of a lost grant, and
// against stand-ins without checks that check all the same.
func TestRequestsAgainstTheFence(t *testing.T) {
	checking, clockOfChecking := start(t, Config{ChecksOrders: true, Entries: []string{newEntry(t, once()).addr()}})
	trusting, _ := start(t, Config{})
	for _, c := range []struct {
		header, value, want string
	}{
		{"X-Other", "1", "200 answered"},
		{wire.HeaderLease, "6", "409 not-run stale-lease"},
		{wire.HeaderLease, "8", "409 not-run stale-lease"},
		{wire.HeaderEpoch, "9", "409 not-run stale-epoch"},
		{wire.HeaderEpoch, "11", "200 answered"},
		{wire.HeaderSlice, "8000000000000000", "409 not-run slice-not-held"},
		{"X-Key", keyIn(false), "409 not-run slice-not-held"},
		{wire.HeaderStartBy, "0", "409 not-run start-by-passed"},
		{wire.HeaderService, "other", "409 not-run wrong-service"},
		{wire.HeaderEpoch, "x", "409 not-run bad-headers"},
		{"X-Key", "", "409 not-run bad-headers"},
	} {
		if got, _ := send(checking, c.header, c.value); got != c.want {
			t.Errorf("%s: %s: checking server answers %q, want %q", c.header, c.value, got, c.want)
		}
		if got, _ := send(trusting, c.header, c.value); got != "200 answered" {
			t.Errorf("%s: %s: server without checks answers %q", c.header, c.value, got)
		}
	}
	clockOfChecking.Advance(time.Second)
	got, _ := send(checking, wire.HeaderStartBy, "5000")
	is := is.New(t)
	is.Equal(got, "409 not-run lease-lapsed")
	is.Equal(len(checking.Executions()), 2) // the two requests that were answered
}

// Guards against accepted orders of an old dispatcher or for another incarnation.
func TestOrdersAgainstTheFence(t *testing.T) {
	checking, _ := start(t, Config{ChecksOrders: true, Entries: []string{newEntry(t, grant).addr()}})
	trusting, _ := start(t, Config{})
	for _, c := range []struct {
		want   string
		status int
		change func(*wire.Order)
	}{
		{"stale-epoch", 409, func(o *wire.Order) { o.Epoch = 9 }},
		{"stale-lease", 409, func(o *wire.Order) { o.Lease = 6 }},
		{"wrong-incarnation", 409, func(o *wire.Order) { o.Incarnation = "old" }},
		{"wrong-backend", 409, func(o *wire.Order) { o.Backend = "b2" }},
		{"wrong-service", 409, func(o *wire.Order) { o.Service = "other" }},
		{"", 200, nil},
		{"", 200, func(o *wire.Order) { o.Epoch = 11; o.Slices = nil }},
	} {
		status, reply := sendOrder(checking, c.change)
		if status != c.status || reply.Reason != c.want || reply.Accepted != (status == 200) {
			t.Errorf("want %d %q, got %d %+v", c.status, c.want, status, reply)
		}
		if status, _ := sendOrder(trusting, c.change); status != 200 {
			t.Errorf("%s: server without checks answers %d", c.want, status)
		}
	}
	is := is.New(t)
	status, _ := sendOrder(trusting, func(o *wire.Order) { o.Slices[0].First = "zz" })
	is.Equal(status, http.StatusBadRequest)
	response, err := http.Get("http://" + checking.Addr() + wire.OrderPath)
	is.NoErr(err)
	defer func() { _ = response.Body.Close() }()
	var held wire.OrderReply
	is.NoErr(json.NewDecoder(response.Body).Decode(&held))
	is.Equal(held, wire.OrderReply{Accepted: true, Incarnation: checking.Incarnation(), Epoch: 11, Slices: []wire.Range{}})
}

// Guards against work committed after the lease lapsed or the slice was revoked.
func TestNoCommitAfterTheGrantIsLost(t *testing.T) {
	for _, checks := range []bool{true, false} {
		var s *Server
		var fake *clock.Fake
		lose := map[string]func(){
			"503 may-have-run lease-lapsed": func() { fake.Advance(time.Second) },
			"503 may-have-run stale-epoch":  func() { sendOrder(s, func(o *wire.Order) { o.Epoch = 11; o.Slices = nil }) },
		}
		for want, during := range lose {
			work := func(context.Context, *http.Request) error { during(); return nil }
			s, fake = start(t, Config{ChecksOrders: checks, Work: work, Entries: []string{newEntry(t, once()).addr()}})
			got, _ := send(s)
			if !checks {
				want = "200 answered"
			}
			if e := s.Executions(); got != want || len(e) != 1 || e[0].Committed == checks {
				t.Errorf("checks %t: answer %q, want %q, executions %+v", checks, got, want, e)
			}
		}
	}
}

// Guards against a lease counted from the arrival of the reply.
func TestLeaseIsCountedFromTheSend(t *testing.T) {
	is := is.New(t)
	var f fence
	f.renew(100*time.Millisecond, wire.AnnounceReply{LeaseMs: 1000, Lease: 2})
	f.renew(500*time.Millisecond, wire.AnnounceReply{LeaseMs: 1000, Lease: 1}) // late reply of an old lease
	is.Equal(f.leaseUntil, 1100*time.Millisecond)
	entry := newEntry(t, nil)
	fakes := make(chan *clock.Fake, 1)
	first := once()
	entry.reply = func() wire.AnnounceReply {
		reply := first()
		if reply.Lease == 7 {
			(<-fakes).Advance(600 * time.Millisecond) // the reply is 600 ms late
		}
		return reply
	}
	fake := clock.NewFake(time.Unix(1000, 0))
	fakes <- fake
	s, err := Start(Config{Backend: "b", Service: "s", Clock: fake, Interval: time.Millisecond, Entries: []string{entry.addr()}})
	is.NoErr(err)
	defer func() { _ = s.Close() }()
	eventually(t, "the lease", func() bool { _, held := s.Lease(); return held })
	fake.Advance(399 * time.Millisecond)
	_, held := s.Lease()
	is.True(held)
	fake.Advance(time.Millisecond)
	_, held = s.Lease()
	is.True(!held)
}

// Guards against a cold server that takes more than its cold limit, and
// against load shed without the verdict not-run.
func TestShedsAboveCapacity(t *testing.T) {
	is := is.New(t)
	running, finish := make(chan bool, 8), make(chan bool)
	s, fake := start(t, Config{Slots: 2, ColdFor: 5 * time.Second, ColdLimit: 1,
		Work: func(ctx context.Context, _ *http.Request) error { running <- true; return await(ctx, finish) }})
	answers := make(chan string)
	run := func() { got, _ := send(s); answers <- got }
	go run()
	<-running
	got, _ := send(s)
	is.Equal(got, "503 not-run cold")
	fake.Advance(5 * time.Second)
	go run()
	<-running
	got, _ = send(s)
	is.Equal(got, "503 not-run shed")
	s.TurnCold(time.Second)
	finish <- true
	is.Equal(<-answers, "200 answered")
	got, _ = send(s)
	is.Equal(got, "503 not-run cold")
	finish <- true
	is.Equal(<-answers, "200 answered")
	is.Equal(s.Stats(), Stats{Started: 2, Committed: 2, Shed: 3, ShedCold: 2, Orders: 1, PeakInWork: 2})
}

// Guards against failure switches that do nothing, over the control path.
func TestFaults(t *testing.T) {
	is := is.New(t)
	entry := newEntry(t, grant)
	s, _ := start(t, Config{Control: true, Entries: []string{entry.addr()}})
	control := func(body string) {
		response, err := http.Post("http://"+s.Addr()+ControlPath, "application/json", strings.NewReader(body))
		is.NoErr(err)
		is.Equal(response.StatusCode, http.StatusNoContent)
		_ = response.Body.Close()
	}
	for body, want := range map[string]string{
		`{"lose_answers":true}`: "no answer", `{"truncate_answers":true}`: "truncated",
		`{"foreign_ids":true}`: "200 answered id foreign-r1", `{"turn_cold_ms":60000}`: "200 answered",
	} {
		control(body)
		got, _ := send(s)
		is.Equal(got, want)
	}
	is.Equal(s.Stats().Committed, 4) // lost and truncated answers belong to executed requests
	_, cold := s.limit()
	is.True(cold)
	control(`{"freeze":true}`)
	answers := make(chan string, 1)
	go func() { got, _ := send(s); answers <- got }()
	heard := entry.count()
	eventually(t, "the arrival of the request", func() bool { return s.conns.Load() >= 1 })
	is.True(entry.count() <= heard+1) // one announcement may have been on its way
	is.Equal(s.Stats().Started, 4)
	control(`{}`)
	is.Equal(<-answers, "200 answered")
	eventually(t, "an announcement after the thaw", func() bool { return entry.count() > heard+1 })
}

// Guards against a server that is lost because one entry host is.
func TestAnnouncesElsewhereWhenAHostIsLost(t *testing.T) {
	dispatcher := newEntry(t, grant)
	second := newEntry(t, func() wire.AnnounceReply {
		return wire.AnnounceReply{LeaseMs: 1000, Lease: 7, AnnounceTo: dispatcher.addr()}
	})
	dispatcher.reply = second.reply
	dead := newEntry(t, grant)
	dead.Close()
	s, _ := start(t, Config{Entries: []string{dead.addr(), second.addr()}})
	eventually(t, "announcing to the dispatcher directly", func() bool { return dispatcher.count() > 2 })
	reached := second.count()
	dispatcher.Close()
	eventually(t, "falling back to an entry host", func() bool { return second.count() > reached+2 })
	is := is.New(t)
	second.mu.Lock()
	defer second.mu.Unlock()
	a := second.heard[len(second.heard)-1]
	is.Equal(a.Epoch, uint64(10))
	is.Equal(a.Address, s.Addr())
}

// Guards against a drain that cuts requests in flight or does not tell the
// dispatcher, and against records that do not reach the file.
func TestDrainFinishesWorkAndRecordsIt(t *testing.T) {
	is := is.New(t)
	entry := newEntry(t, grant)
	running, finish := make(chan bool, 8), make(chan bool)
	path := filepath.Join(t.TempDir(), "records")
	s, _ := start(t, Config{Entries: []string{entry.addr()}, RecordFile: path, ChecksOrders: true,
		Work: func(ctx context.Context, _ *http.Request) error { running <- true; return await(ctx, finish) }})
	answers := make(chan string, 1)
	go func() { got, _ := send(s); answers <- got }()
	<-running
	drained := make(chan error, 1)
	go func() { drained <- s.Drain(t.Context()) }()
	eventually(t, "an announcement with Leaving", func() bool {
		entry.mu.Lock()
		defer entry.mu.Unlock()
		return entry.heard[len(entry.heard)-1].Leaving
	})
	entry.mu.Lock()
	entry.reply = func() wire.AnnounceReply { return wire.AnnounceReply{} } // released
	entry.mu.Unlock()
	is.Equal(len(drained), 0) // one request is in flight
	finish <- true
	is.Equal(<-answers, "200 answered")
	is.NoErr(<-drained)
	is.NoErr(s.Close())
	file, err := os.Open(path)
	is.NoErr(err)
	defer func() { _ = file.Close() }()
	var e Execution
	lines := bufio.NewScanner(file)
	is.True(lines.Scan())
	is.NoErr(json.Unmarshal(lines.Bytes(), &e))
	is.True(e.Committed && e.RequestID == "r1" && e.Epoch == 10 && e.Lease == 7 && e.Key == keyIn(true))
	is.True(!lines.Scan())
}
