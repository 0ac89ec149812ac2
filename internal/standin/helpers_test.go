package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
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

// entryHost is a fake entry host that records announcements and answers them with reply.
type entryHost struct {
	*httptest.Server
	mu            sync.Mutex
	reply         func() wire.AnnounceReply
	announcements []wire.Announcement
}

func newEntryHost(t *testing.T, reply func() wire.AnnounceReply) *entryHost {
	e := &entryHost{reply: reply, announcements: []wire.Announcement{{}}}
	e.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var a wire.Announcement
		_ = json.NewDecoder(r.Body).Decode(&a)
		e.mu.Lock()
		defer e.mu.Unlock()
		e.announcements = append(e.announcements, a)
		_ = json.NewEncoder(w).Encode(e.reply())
	}))
	t.Cleanup(e.Close)
	return e
}

func (e *entryHost) addr() string { return e.Listener.Addr().String() }

// countAndLast returns the number of recorded announcements, with an empty one that it
// starts with, and the last one.
func (e *entryHost) countAndLast() (int, wire.Announcement) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.announcements), e.announcements[len(e.announcements)-1]
}

// grantLease replies with lease 7 for one second.
func grantLease() wire.AnnounceReply { return wire.AnnounceReply{LeaseMs: 1000, Lease: 7} }

// grantLeaseOnce replies with lease 7 to the first announcement and grants no lease later.
func grantLeaseOnce() func() wire.AnnounceReply {
	next := grantLease()
	return func() (reply wire.AnnounceReply) {
		reply, next = next, reply
		return reply
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

// startServer starts a stand-in on a fake clock. It waits for a lease, if there are entry
// hosts, and sends an order of epoch 10 for the lower half of the hashes.
func startServer(t *testing.T, c Config) (*Server, *clock.Fake) {
	t.Helper()
	fake := clock.NewFake(time.Unix(1000, 0))
	c.Backend, c.Service, c.KeyHeader, c.Clock, c.Interval = "b1", "svc", "X-Key", fake, time.Millisecond
	is := is.New(t)
	s, err := Start(c)
	is.NoErr(err)
	t.Cleanup(func() { _ = s.Close() })
	if len(c.Entries) > 0 {
		eventually(t, "the first lease", func() bool { number, _ := s.Lease(); return number == 7 })
	}
	status, _ := sendOrder(s, nil)
	is.Equal(status, http.StatusOK)
	return s, fake
}

func sendOrder(s *Server, change func(*wire.OwnershipOrder)) (int, wire.OwnershipOrderReply) {
	o := wire.OwnershipOrder{Service: "svc", Backend: "b1", Incarnation: s.Incarnation(), Epoch: 10, Lease: 7, Keyed: true,
		Slices: []wire.Range{{First: "0", Last: "7fffffffffffffff"}}}
	if change != nil {
		change(&o)
	}
	body, _ := json.Marshal(o)
	var reply wire.OwnershipOrderReply
	status := decodeReply(&reply)(http.Post("http://"+s.Addr()+wire.OrderPath, "application/json", bytes.NewReader(body)))
	return status, reply
}

// decodeReply returns a function that decodes a JSON answer and returns its status, or 0
// if there was none.
func decodeReply(into any) func(*http.Response, error) int {
	return func(response *http.Response, err error) int {
		if err != nil {
			return 0
		}
		defer func() { _ = response.Body.Close() }()
		_ = json.NewDecoder(response.Body).Decode(into)
		return response.StatusCode
	}
}

// waitForFinish keeps a request running until finish receives or its caller cancels it.
func waitForFinish(ctx context.Context, finish chan bool) error {
	select {
	case <-finish:
	case <-ctx.Done():
	}
	return ctx.Err()
}

// keyInHalf returns a key whose hash is in the lower or the upper half.
func keyInHalf(lower bool) string {
	for i := 0; ; i++ {
		if key := strconv.Itoa(i); (service.HashKey(key) < 1<<63) == lower {
			return key
		}
	}
}

// sendRequest forwards a request under lease 7 and epoch 10, with the given headers
// replaced. It describes the answer as "status verdict reason", followed by a wrong id
// or body.
func sendRequest(s *Server, headers ...string) string {
	r, _ := http.NewRequest("POST", "http://"+s.Addr()+"/x//../y", strings.NewReader("body"))
	for name, value := range map[string]string{
		wire.HeaderRequestID: "r1", wire.HeaderService: "svc", wire.HeaderEpoch: "10", wire.HeaderLease: "7",
		wire.HeaderSlice: "0000000000000000", wire.HeaderStartBy: "900", "X-Key": keyInHalf(true),
	} {
		r.Header.Set(name, value)
	}
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	response, err := (&http.Client{Timeout: 5 * time.Second}).Do(r)
	if err != nil {
		return "no answer"
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return "truncated"
	}
	got := strconv.Itoa(response.StatusCode) + " " + response.Header.Get(verdict.Header) + " " + response.Header.Get(verdict.ReasonHeader)
	if id := response.Header.Get(wire.HeaderRequestID); id != r.Header.Get(wire.HeaderRequestID) {
		got += " id " + id
	}
	want, _ := json.Marshal(Answer{Backend: "b1", Service: "svc", RequestID: "r1", Key: r.Header.Get("X-Key"), BodyBytes: 4})
	if response.StatusCode == http.StatusOK && strings.TrimSpace(string(body)) != string(want) {
		got += " body " + string(body)
	}
	return strings.Join(strings.Fields(got), " ")
}
