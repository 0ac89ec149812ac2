package control

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agatestep/agatestep/internal/command"
)

// recordedLog returns the commands of a deployment of 400 servers, 85 hosts and 130 routes
// in which keys move and servers and routes change.
func recordedLog(t testing.TB) [][]byte {
	is := is.New(t)
	r := newHeartbeatFleet(t, 400)
	var commands [][]byte
	record := func(c *command.Command) {
		data, err := c.Encode()
		is.NoErr(err)
		commands = append(commands, data)
	}
	r.fakeLog.beforeApply = record
	for i := range 85 {
		host := hostJoined(i)
		r.mustApply(t, command.Command{HostJoined: &host})
	}
	for round := range 4 {
		r.mustApply(t, command.Command{PatchItems: &command.PatchItems{Items: append(deskItems(uint64(2+round)), routeItems(130, uint64(2+round))...)}})
		for i, name := range sortedNames(r.heartbeats) {
			if hb := r.heartbeats[name]; i%2 == round%2 {
				hb.ColdMs = int64(1000 * (round % 2))
			}
		}
		for range 4 {
			r.clock.Advance(time.Second)
			r.Balance(ctx)
			r.Tick(ctx)
			r.sendAllHeartbeats()
		}
	}
	return commands
}

// BenchmarkReplay measures the start of a control host, which applies the commands of its
// log one by one.
func BenchmarkReplay(b *testing.B) {
	setup := newHeartbeatFleet(b, 400)
	base, err := setup.state.Snapshot()
	is.New(b).NoErr(err)
	commands := recordedLog(b)
	b.ReportAllocs()
	for b.Loop() {
		s := NewState(Checker{})
		is.New(b).NoErr(s.Restore(setup.index, base))
		for i, data := range commands {
			s.Apply(setup.index+uint64(i)+1, data)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(len(commands)), "ns/command")
	b.ReportMetric(float64(len(commands)), "commands")
}

// BenchmarkSnapshot measures a snapshot of the same deployment, and its restoration.
func BenchmarkSnapshot(b *testing.B) {
	is, r := is.New(b), newHeartbeatFleet(b, 400)
	for i := range 85 {
		host := hostJoined(i)
		r.mustApply(b, command.Command{HostJoined: &host})
	}
	r.mustApply(b, command.Command{PatchItems: &command.PatchItems{Items: append(deskItems(2), routeItems(1700, 2)...)}})
	data, err := r.state.Snapshot()
	is.NoErr(err)
	b.Run("take", func(b *testing.B) {
		b.ReportMetric(float64(len(data)), "bytes")
		for b.Loop() {
			_, err := r.state.Snapshot()
			is.NoErr(err)
		}
	})
	b.Run("restore", func(b *testing.B) {
		for b.Loop() {
			is.NoErr(NewState(Checker{}).Restore(r.index, data))
		}
	})
}
