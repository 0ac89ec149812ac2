package capacity

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/agatestep/agatestep/internal/clock"
	"github.com/agatestep/agatestep/internal/command"
	"github.com/agatestep/agatestep/internal/control"
	"github.com/agatestep/agatestep/internal/dispatch"
	"github.com/agatestep/agatestep/internal/peer"
	"github.com/agatestep/agatestep/internal/service"
	"github.com/agatestep/agatestep/internal/session"
	"github.com/agatestep/agatestep/internal/table"
	"github.com/agatestep/agatestep/internal/timeline"
	"github.com/agatestep/agatestep/internal/wire"
)

// group is an in-memory control group of one replica, with its leader.
type group struct {
	leader *control.Leader
	state  *control.State
	index  uint64
}

func (g *group) Propose(_ context.Context, data []byte) (uint64, []byte, error) {
	g.index++
	return g.index, g.state.Apply(g.index, data), nil
}

func (g *group) Status() control.LeaderStatus {
	return control.LeaderStatus{IsLeader: true, LeaderHost: "h0", Term: 1, LeaseUntil: time.Now().Add(time.Hour)}
}

// newGroup returns a group with sessions of the given number of entry hosts, and the listener of
// its leader.
func newGroup(b *testing.B, hosts int) (*group, *countingListener) {
	g, listener, server := &group{state: control.NewState(control.Checker{})}, newListener(b), peer.NewServer(timeline.NewClock(time.Now))
	g.leader = control.NewLeader(control.LeaderConfig{State: g.state, Proposer: g, SessionTTL: time.Hour})
	for i := range hosts {
		is.New(b).True(g.leader.Renew(b.Context(), sessionRenewal(g, i)).Granted)
	}
	server.Register(wire.MethodSessionRenew, peer.Handle(func(ctx context.Context, r wire.SessionRenew) (wire.SessionReply, error) {
		return g.leader.Renew(ctx, r), nil
	}))
	server.Register(wire.MethodTableWatch, peer.Handle(func(ctx context.Context, r wire.TableWatch) (wire.TableReply, error) {
		return g.leader.Watch(ctx, r), nil
	}))
	go func() { _ = server.Serve(listener, nil) }()
	b.Cleanup(server.Close)
	return g, listener
}

func sessionRenewal(g *group, i int, loads ...wire.SliceLoads) wire.SessionRenew {
	address := func(port int) string { return fmt.Sprintf("10.200.%d.%d:%d", i/250, i%250, port) }
	return wire.SessionRenew{Instance: "1f0e9a7c3b5d2846", Applied: g.state.Table().Revision(), Loads: loads, Host: command.HostJoined{
		Host: fmt.Sprintf("entry-%04d", i), DataCentre: fmt.Sprint("dc", i%9), PeerAddress: address(7001), RelayAddress: address(7002), BackendsAddress: address(7003), AdminAddress: address(7004)}}
}

// countingListener counts the bytes that its connections read and write, without TCP and IP
// headers.
type countingListener struct {
	net.Listener
	bytes atomic.Int64
}

type countingConn struct {
	net.Conn
	listener *countingListener
}

func (c *countingListener) Accept() (net.Conn, error) {
	conn, err := c.Listener.Accept()
	return countingConn{conn, c}, err
}

func backendName(i int) string                                  { return fmt.Sprintf("server-%04d", i) }
func (c *countingListener) count(n int, err error) (int, error) { c.bytes.Add(int64(n)); return n, err }
func (c countingConn) Read(p []byte) (int, error)               { return c.listener.count(c.Conn.Read(p)) }
func (c countingConn) Write(p []byte) (int, error)              { return c.listener.count(c.Conn.Write(p)) }

func newListener(b *testing.B) *countingListener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(b).NoErr(err)
	b.Cleanup(func() { _ = l.Close() })
	return &countingListener{Listener: l}
}

// measure runs op for the benchmark, after one run that is not counted. It reports the bytes
// and the processor time, of both sides, per operation and part.
func (c *countingListener) measure(b *testing.B, parts int, op func(n int)) {
	var from, to syscall.Rusage
	op(0)
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &from)
	bytes, n := c.bytes.Load(), 0
	for ; b.Loop(); n++ {
		op(n + 1)
	}
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &to)
	b.ReportMetric(float64(c.bytes.Load()-bytes)/float64(n*parts), "wire-B/op")
	b.ReportMetric(float64(to.Utime.Nano()+to.Stime.Nano()-from.Utime.Nano()-from.Stime.Nano())/float64(n*parts), "cpu-ns/op")
}

// BenchmarkRenew renews sessions over TCP in groups of three sizes, and with load
// reports of some slices; each 64 slices belong to a backend server with 16 hot keys.
func BenchmarkRenew(b *testing.B) {
	for _, size := range [][2]int{{100, 0}, {300, 0}, {900, 0}, {300, 64}, {300, 256}, {300, 512}} {
		b.Run(fmt.Sprintf("hosts=%d/slices=%d", size[0], size[1]), func(b *testing.B) {
			is, client, loads := is.New(b), peer.NewClient(timeline.NewClock(time.Now), nil), []wire.SliceLoads{}
			g, l := newGroup(b, size[0])
			for s := 0; s < size[1]; s += 64 {
				load := wire.SliceLoads{Service: "service-01", Backend: backendName(s), BusyMs: 900}
				for i := range uint64(64) {
					load.Slices = append(load.Slices, wire.SliceCount{Start: (1<<64 - 1) / 23_000 * (uint64(s) + i), Count: 40})
					load.Keys = append(load.Keys[:min(i, 15)], wire.KeyCount{Hash: (1<<64 - 1) / 9973 * (uint64(s) + i), Count: 40})
				}
				loads = append(loads, load)
			}
			l.measure(b, 1, func(n int) {
				req, reply := sessionRenewal(g, n%size[0], loads...), wire.SessionReply{}
				is.True(client.Call(b.Context(), l.Addr().String(), wire.MethodSessionRenew, req, &reply) == nil && reply.Granted)
			})
		})
	}
}

// BenchmarkWatch commits a change of one host and waits until all hosts have received
// it; poll measures watches that end without a change. The figures are per change and host.
func BenchmarkWatch(b *testing.B) {
	for i, hosts := range []int{30, 100, 300, 30, 100, 300} {
		addressCount := 2 - i/3
		b.Run(fmt.Sprint([]string{"change", "poll"}[i/3], "/hosts=", hosts), func(b *testing.B) {
			is, sessions := is.New(b), []*session.Session{}
			g, l := newGroup(b, hosts)
			watch := func(s *session.Session) { is.NoErr(s.Watch(b.Context())) }
			for i := range hosts {
				client := peer.NewClient(timeline.NewClock(time.Now), nil)
				b.Cleanup(client.Close)
				sessions = append(sessions, session.New(session.Config{Host: sessionRenewal(g, i).Host, Caller: client, Clock: clock.Real{},
					Replicas: []session.Replica{{Host: "h0", Address: l.Addr().String()}}, CallTimeout: 10 * time.Second, WatchPoll: time.Minute}))
				watch(sessions[i])
			}
			l.measure(b, hosts, func(n int) {
				req := sessionRenewal(g, 0)
				req.Host.AdminAddress = fmt.Sprint("10.200.0.0:", 8000+n%addressCount)
				is.True(g.leader.Renew(b.Context(), req).Granted)
				var wg sync.WaitGroup
				for _, s := range sessions {
					wg.Go(func() { watch(s) })
				}
				wg.Wait()
			})
		})
	}
}

// newDispatcher returns a dispatcher of the first dispatched backend servers, and its routing
// table of all servers, with slices for each.
func newDispatcher(dispatched, servers, slices int, address string, record func(kind, subject, detail string)) (*dispatch.Dispatcher, *table.Table) {
	builder := table.NewBuilder(0)
	builder.PutHost(table.Host{Name: "h0", DataCentre: "dc0", BackendsAddress: "10.200.0.1:7003"})
	builder.PutService(table.Service{File: &service.File{Service: "service-00", Key: &service.KeySource{Header: "X-Key"}}})
	for i := range servers {
		builder.PutBackend(table.Backend{Name: backendName(i), Service: "service-00", Incarnation: "1f0e9a7c3b5d2846", Address: address, Slots: 4, Connections: 110, ChecksOrders: true, Epoch: 1, Dispatcher: map[bool]string{true: "h0"}[i < dispatched]})
	}
	for i := range servers * slices {
		builder.PutSlice("service-00", table.Slice{Start: (1<<64 - 1) / uint64(servers*slices) * uint64(i), Owner: backendName(i % servers), Epoch: 1, State: table.SliceOwned})
	}
	t, _ := table.Empty().Apply(builder.Delta(1))
	dispatcher := dispatch.New(dispatch.Config{Host: "h0", Tables: func() *table.Table { return t }, RecordEvent: record, BackendLeaseTTL: time.Minute, SessionValidUntil: func() time.Time { return time.Now().Add(time.Hour) }})
	dispatcher.TableChanged(t)
	return dispatcher, t
}

func announcement(i int) wire.Announcement {
	return wire.Announcement{Backend: backendName(i), Service: "service-00", Incarnation: "1f0e9a7c3b5d2846", DataCentre: "dc0", Address: "10.1.2.3:8080",
		Slots: 4, Connections: 110, ChecksOrders: true, ClockMs: time.Now().UnixMilli(), Epoch: 1_000_000, Load: &wire.LoadReport{InFlight: 3, AgeMs: 40}}
}

// BenchmarkAnnounce sends announcements over HTTP to the dispatcher of some backend
// servers; table measures its work for a new routing table, which has 45 times as many
// servers.
func BenchmarkAnnounce(b *testing.B) {
	for _, servers := range []int{1, 2, 8} {
		d, t := newDispatcher(servers, servers*45, 64, "127.0.0.1:1", nil)
		b.Run(fmt.Sprint("table/servers=", servers), func(b *testing.B) {
			for b.Loop() {
				d.TableChanged(t)
			}
		})
		b.Run(fmt.Sprint("servers=", servers), func(b *testing.B) {
			is, l := is.New(b), newListener(b)
			go func() { _ = http.Serve(l, d.AnnounceHandler()) }()
			l.measure(b, 1, func(n int) {
				body, _ := json.Marshal(announcement(n % servers))
				resp, err := http.Post("http://"+l.Addr().String()+wire.AnnouncePath, "application/json", bytes.NewReader(body))
				is.NoErr(err)
				defer resp.Body.Close()
				reply := wire.AnnounceReply{}
				is.True(json.NewDecoder(resp.Body).Decode(&reply) == nil && reply.LeaseMs > 0)
			})
		})
	}
}

// BenchmarkOrder raises the epoch of a backend server and waits until the new order
// is confirmed, for several numbers of slices in the order.
func BenchmarkOrder(b *testing.B) {
	for _, slices := range []int{16, 64, 256, 1024} {
		b.Run(fmt.Sprint("slices=", slices), func(b *testing.B) {
			l, events := newListener(b), make(chan string, 64)
			accept := func(w http.ResponseWriter, r *http.Request) {
				var o wire.OwnershipOrder
				_ = json.NewDecoder(r.Body).Decode(&o)
				_ = json.NewEncoder(w).Encode(wire.OwnershipOrderReply{Accepted: true, Incarnation: o.Incarnation, Epoch: o.Epoch, Slices: o.Slices})
			}
			go func() { _ = http.Serve(l, http.HandlerFunc(accept)) }()
			d, t := newDispatcher(1, 1, slices, l.Addr().String(), func(kind, _, _ string) { events <- kind })
			go d.Run(b.Context())
			d.Announce(b.Context(), announcement(0))
			for e := ""; e != "order-confirmed"; e = <-events {
			}
			l.measure(b, 1, func(int) {
				next, rec := table.NewBuilder(t.Revision()), *t.Backend("service-00", backendName(0))
				rec.Epoch++
				next.PutBackend(rec)
				t, _ = t.Apply(next.Delta(t.Revision() + 1))
				d.TableChanged(t)
				for e := ""; e != "order-confirmed"; e = <-events {
				}
			})
		})
	}
}

// BenchmarkTimeline fills a ring buffer of events. With -benchmem the allocated memory is
// what the ring retains.
func BenchmarkTimeline(b *testing.B) {
	for _, events := range []int{1024, 4096, 16_384} {
		b.Run(fmt.Sprint("events=", events), func(b *testing.B) {
			for b.Loop() {
				for i, r := 0, timeline.NewRing("entry-0001", timeline.NewClock(time.Now), events); i < events; i++ {
					r.Record("order-confirmed", backendName(i), fmt.Sprintf("epoch %d, 64 slices", i))
				}
			}
		})
	}
}
