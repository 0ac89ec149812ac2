package control

import (
	"context"
	"fmt"
	"sync"
	"time"

	"pgregory.net/rapid"

	"github.com/agatestep/agatestep/internal/clock"
	"github.com/agatestep/agatestep/internal/command"
	"github.com/agatestep/agatestep/internal/table"
	"github.com/agatestep/agatestep/internal/wire"
)

var (
	ctx   = context.Background()
	start = time.Unix(1_000_000, 0)
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
func (l *log) do(t rapid.TB, c command.Command) *command.Result {
	t.Helper()
	data, _ := c.Encode()
	_, out, err := l.Propose(ctx, data)
	res, bad := command.DecodeResult(out)
	if err != nil || bad != nil {
		t.Fatalf("%v %v", err, bad)
	}
	return res
}

// must is do for a command that has to succeed.
func (l *log) must(t rapid.TB, c command.Command) uint64 {
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

func newGroup() *group {
	g := &group{log: &log{state: NewState(Checker{})}, clock: clock.NewFake(start)}
	g.status = LeaderStatus{IsLeader: true, LeaderHost: "h1", Term: 1, LeaseUntil: start.Add(time.Hour), ElectedAt: start}
	g.Leader = NewLeader(LeaderConfig{State: g.state, Proposer: g.log, Clock: g.clock})
	return g
}

func hostJoined(i int) command.HostJoined {
	return command.HostJoined{Host: fmt.Sprint("h", i), DataCentre: fmt.Sprint("dc", i%3), Instance: "a",
		PeerAddress: fmt.Sprintf("127.0.1.%d:1", i), RelayAddress: fmt.Sprintf("127.0.1.%d:2", i)}
}

// renew renews the session of a host at its current table.
func (g *group) renew(i int, change ...func(*wire.SessionRenew)) wire.SessionReply {
	req := wire.SessionRenew{Host: hostJoined(i), Instance: "a", Applied: g.state.Table().Revision()}
	for _, c := range change {
		c(&req)
	}
	return g.Renew(ctx, req)
}

func announced(service string, i int, change ...func(*command.BackendAnnounced)) command.Command {
	a := &command.BackendAnnounced{Backend: fmt.Sprint("b", i), Service: service, Incarnation: "i1", DataCentre: fmt.Sprint("dc", i%3),
		Address: fmt.Sprintf("127.0.%d.%d:80", 2+i/200, i%200), Slots: 4, Connections: 110}
	for _, c := range change {
		c(a)
	}
	return command.Command{BackendAnnounced: a}
}

func fileOf(service string, version, slices int, extra string) command.File {
	if slices > 0 {
		extra += fmt.Sprintf("\nkey: {header: X-Key}\nslices: %d", slices)
	}
	return command.File{Name: service + ".yaml", Content: fmt.Sprintf(
		"service: %[1]s\nteam: t\nversion: %[2]d\nmatch: {path_prefixes: [/%[1]s/]}\nbackend: {slots: 4}\n%[3]s", service, version, extra)}
}

func publish(id string, files ...command.File) command.Command {
	return command.Command{Publish: &command.Publish{RequestID: id, Files: files}}
}

func drain(id string, kind command.DrainKind, name string, out bool, version uint64) command.Command {
	return command.Command{Drain: &command.Drain{RequestID: id, Kind: kind, Name: name, Out: out, Version: version}}
}

// populate publishes a keyed service "desk" and announces backend servers b1..bn.
func (l *log) populate(t rapid.TB, slices, servers int) {
	l.must(t, publish("p1", fileOf("desk", 1, slices, "")))
	for i := 1; i <= servers; i++ {
		l.must(t, announced("desk", i))
	}
}

func slicesOf(t *table.Table) (out []table.Slice) {
	for s := range t.AllSlices("desk") {
		out = append(out, s)
	}
	return out
}
