package control

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/agatestep/agatestep/internal/clock"
	"github.com/agatestep/agatestep/internal/command"
	"github.com/agatestep/agatestep/internal/table"
	"github.com/agatestep/agatestep/internal/wire"
)

// log is a replicated log of one replica: it applies each command at once.
type log struct {
	mu     sync.Mutex
	state  *State
	index  uint64
	status LeaderStatus
	fail   error
	hook   func(c *command.Command) // called before a command is applied
}

func (l *log) Propose(_ context.Context, data []byte) (uint64, []byte, error) {
	if c, err := command.Decode(data); err == nil && l.hook != nil {
		l.hook(c)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.fail != nil {
		return 0, nil, l.fail
	}
	l.index++
	return l.index, l.state.Apply(l.index, data), nil
}

func (l *log) Status() LeaderStatus {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.status
}

func (l *log) set(change func(*LeaderStatus)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(&l.status)
}

// do applies a command and returns its result.
func (l *log) do(t testing.TB, c command.Command) *command.Result {
	t.Helper()
	data, err := c.Encode()
	if err != nil {
		t.Fatal(err)
	}
	_, out, err := l.Propose(context.Background(), data)
	if err != nil {
		t.Fatal(err)
	}
	res, err := command.DecodeResult(out)
	if err != nil {
		t.Fatal(err)
	}
	return res
}

// must is do for a command that has to succeed.
func (l *log) must(t testing.TB, c command.Command) uint64 {
	t.Helper()
	res := l.do(t, c)
	if res.Code != command.ResultOK {
		t.Fatalf("%s: %s %v", res.Code, res.Detail, res.Problems)
	}
	return res.Revision
}

// group is a leader with its log and clock.
type group struct {
	*log
	*Leader
	clock *clock.Fake
}

var start = time.Unix(1_000_000, 0)

func newGroup() *group {
	g := &group{log: &log{state: NewState(Checker{})}, clock: clock.NewFake(start)}
	g.status = LeaderStatus{IsLeader: true, LeaderHost: "h1", Term: 1, LeaseUntil: start.Add(time.Hour), ElectedAt: start}
	g.Leader = NewLeader(LeaderConfig{State: g.state, Proposer: g.log, Clock: g.clock})
	return g
}

func hostJoined(i int) command.HostJoined {
	return command.HostJoined{
		Host: fmt.Sprintf("h%d", i), DataCentre: fmt.Sprintf("dc%d", i%3), Instance: "a",
		PeerAddress: fmt.Sprintf("127.0.1.%d:1", i), RelayAddress: fmt.Sprintf("127.0.1.%d:2", i),
	}
}

// renew renews the session of a host at its current table.
func (g *group) renew(i int, change ...func(*wire.SessionRenew)) wire.SessionReply {
	req := wire.SessionRenew{Host: hostJoined(i), Instance: "a", Applied: g.state.Table().Revision()}
	for _, c := range change {
		c(&req)
	}
	return g.Renew(context.Background(), req)
}

func announced(service string, i int) command.Command {
	return command.Command{BackendAnnounced: &command.BackendAnnounced{
		Backend: fmt.Sprintf("b%d", i), Service: service, Incarnation: "i1", DataCentre: fmt.Sprintf("dc%d", i%3),
		Address: fmt.Sprintf("127.0.2.%d:80", i), Slots: 4, Connections: 110,
	}}
}

func fileOf(service string, version, slices int, extra string) command.File {
	key := "key: {header: X-Key}\nslices: " + fmt.Sprint(slices)
	if slices == 0 {
		key = ""
	}
	return command.File{Name: service + ".yaml", Content: fmt.Sprintf(
		"service: %s\nteam: t\nversion: %d\nmatch: {path_prefixes: [/%s/]}\nbackend: {slots: 4}\n%s\n%s", service, version, service, key, extra)}
}

func publish(id string, files ...command.File) command.Command {
	return command.Command{Publish: &command.Publish{RequestID: id, Files: files}}
}

// populate publishes a keyed service "desk" and announces backend servers b1..bn.
func (l *log) populate(t testing.TB, slices, servers int) {
	l.must(t, publish("p1", fileOf("desk", 1, slices, "")))
	for i := 1; i <= servers; i++ {
		l.must(t, announced("desk", i))
	}
}

func slicesOf(t *table.Table, service string) []table.Slice {
	var out []table.Slice
	for s := range t.AllSlices(service) {
		out = append(out, s)
	}
	return out
}
