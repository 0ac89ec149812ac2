package peer

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/agatestep/agatestep/internal/items"
	"github.com/agatestep/agatestep/internal/timeline"
	"github.com/agatestep/agatestep/internal/wire"
)

// BenchmarkCall measures one call, client and server together: a permit request, a heartbeat of
// a backend server with ten key ranges, and a configuration with 1,700 routes.
func BenchmarkCall(b *testing.B) {
	request := wire.PermitRequest{Service: "lecu91a", Backend: "i-a0ad38b551", Born: 1785157085189, ID: 1 << 60, Rank: 1, TargetMs: 700, LeftMs: 3800, ServiceMs: 170, PollMs: 150}
	b.Run("permit", func(b *testing.B) { benchmarkCall(b, request, wire.PermitReply{State: wire.PermitGranted}) })
	var held []wire.KeyRange
	for i := range uint64(10) {
		held = append(held, wire.KeyRange{First: i << 50, Last: (i+1)<<50 - 1, Epoch: 400 + i})
	}
	hb := wire.Heartbeat{Service: "lecu91a", Backend: "i-a0ad38b551", Born: 1785157085189, Sequence: 20, DataCentre: "penang", Address: "10.128.0.9:8080", Slots: 2, Held: held}
	b.Run("heartbeat", func(b *testing.B) {
		benchmarkCall(b, hb, wire.HeartbeatReply{Acked: true, Grant: true, Granted: held, LeaseMs: 3270, Leader: "10.2.0.41:7740"})
	})
	var list []items.Item
	for i := range 1700 {
		list = append(list, items.Item{Key: items.Key{Kind: items.KindRoute, Name: fmt.Sprint("r-", i)}, Version: 7, Document: make([]byte, 300),
			Route: &items.Route{Host: "ficu95.example", PathPrefix: fmt.Sprint("/", i, "/"), Timeout: time.Second, Shares: []items.Share{{Service: "lecu91a", Weight: 1}}}})
	}
	b.Run("configuration", func(b *testing.B) { benchmarkCall(b, wire.ReadRevision{}, list) })
}

func benchmarkCall[P, R any](b *testing.B, params P, answer R) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	s := NewServer(timeline.NewClock(time.Now))
	s.Register("call", Handle(func(context.Context, P) (R, error) { return answer, nil }))
	go func() { _ = s.Serve(l, nil) }() // returns when the listener is closed
	b.Cleanup(func() { _ = l.Close(); s.Close() })
	c := NewClient(timeline.NewClock(time.Now), nil)
	defer c.Close()
	b.ReportAllocs()
	for b.Loop() {
		var reply R
		if err := c.Call(context.Background(), l.Addr().String(), "call", params, &reply); err != nil {
			b.Fatal(err)
		}
	}
}
