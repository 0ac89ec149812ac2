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

// fakeLog is a replicated log of one replica that applies each command at once.
type fakeLog struct {
	mu          sync.Mutex
	state       *State
	index       uint64
	status      LeaderStatus
	proposeErr  error
	beforeApply func(c *command.Command) // called before a command is applied
}

func (l *fakeLog) Propose(_ context.Context, data []byte) (uint64, []byte, error) {
	if c, err := command.Decode(data); err == nil && l.beforeApply != nil {
		l.beforeApply(c)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.proposeErr != nil {
		return 0, nil, l.proposeErr
	}
	l.index++
	return l.index, l.state.Apply(l.index, data), nil
}

func (l *fakeLog) Status() LeaderStatus {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.status
}

func (l *fakeLog) setStatus(change func(*LeaderStatus)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(&l.status)
}

// apply applies a command and returns its result.
func (l *fakeLog) apply(t rapid.TB, c command.Command) *command.Result {
	t.Helper()
	data, _ := c.Encode()
	_, out, err := l.Propose(ctx, data)
	res, decodeErr := command.DecodeResult(out)
	if err != nil || decodeErr != nil {
		t.Fatalf("%v %v", err, decodeErr)
	}
	return res
}

// mustApply applies a command that has to succeed and returns its revision.
func (l *fakeLog) mustApply(t rapid.TB, c command.Command) uint64 {
	t.Helper()
	res := l.apply(t, c)
	if res.Code != command.ResultOK {
		t.Fatalf("%s: %s %v", res.Code, res.Detail, res.Problems)
	}
	return res.Revision
}

// testLeader is a leader with its log and clock.
type testLeader struct {
	*fakeLog
	*Leader
	clock *clock.Fake
}

func newTestLeader() *testLeader {
	g := &testLeader{fakeLog: &fakeLog{state: NewState(Checker{})}, clock: clock.NewFake(start)}
	g.status = LeaderStatus{IsLeader: true, LeaderHost: "h1", Term: 1, LeaseUntil: start.Add(time.Hour), ElectedAt: start}
	g.Leader = NewLeader(LeaderConfig{State: g.state, Proposer: g.fakeLog, Clock: g.clock})
	return g
}

func hostJoined(i int) command.HostJoined {
	return command.HostJoined{Host: fmt.Sprint("h", i), DataCentre: fmt.Sprint("dc", i%3), Instance: "a",
		PeerAddress: fmt.Sprintf("127.0.1.%d:1", i), RelayAddress: fmt.Sprintf("127.0.1.%d:2", i)}
}

// renew renews the session of host i, which has applied the current table.
func (g *testLeader) renew(i int, change ...func(*wire.SessionRenew)) wire.SessionReply {
	req := wire.SessionRenew{Host: hostJoined(i), Instance: "a", Applied: g.state.Table().Revision()}
	for _, c := range change {
		c(&req)
	}
	return g.Renew(ctx, req)
}

func announce(service string, i int, change ...func(*command.BackendAnnounced)) command.Command {
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

func publishCommand(id string, files ...command.File) command.Command {
	return command.Command{Publish: &command.Publish{RequestID: id, Files: files}}
}

func drainCommand(id string, kind command.DrainKind, name string, out bool, version uint64) command.Command {
	return command.Command{Drain: &command.Drain{RequestID: id, Kind: kind, Name: name, Out: out, Version: version}}
}

// populate publishes a keyed service "desk" and announces backend servers b1..bn.
func (l *fakeLog) populate(t rapid.TB, slices, servers int) {
	l.mustApply(t, publishCommand("p1", fileOf("desk", 1, slices, "")))
	for i := 1; i <= servers; i++ {
		l.mustApply(t, announce("desk", i))
	}
}

func deskSlices(t *table.Table) (out []table.Slice) {
	for s := range t.AllSlices("desk") {
		out = append(out, s)
	}
	return out
}
