package daemon

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/agatestep/agatestep/internal/callerconn"
	"github.com/agatestep/agatestep/internal/controlapi"
	"github.com/agatestep/agatestep/internal/peer"
	"github.com/agatestep/agatestep/internal/settings"
	"github.com/agatestep/agatestep/internal/timeline"
	"github.com/agatestep/agatestep/internal/wire"
)

// A process stands still while a call waits in its socket, and the caller gives up. Guards
// against acting on the call when the process resumes.
func TestCallOfDisconnectedCallerIsDropped(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	conn, err := net.Dial("tcp", listener.Addr().String())
	is.NoErr(err)
	_, err = io.WriteString(conn, "POST /abandoned HTTP/1.1\r\nHost: control\r\nContent-Length: 0\r\n\r\n")
	is.NoErr(err)
	is.NoErr(conn.Close())

	var abandoned, served atomic.Int32
	before := processMetrics.abandoned.Value()
	p := &process{settings: &settings.Settings{}, logger: zap.NewNop(), listeners: map[string]net.Listener{listenControl: listener}}
	p.settings.Limits.Connections = 10
	server := p.serveCalls(listenControl, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/abandoned" {
			abandoned.Add(1)
		} else {
			served.Add(1)
		}
	}), nil)
	defer server.Close()
	for began := time.Now(); processMetrics.abandoned.Value() == before && abandoned.Load() == 0; time.Sleep(time.Millisecond) {
		is.True(time.Since(began) < 30*time.Second) // the call is neither dropped nor served
	}
	response, err := http.Post("http://"+listener.Addr().String()+"/waiting", "", nil)
	is.NoErr(err)
	is.NoErr(response.Body.Close())
	is.Equal(abandoned.Load(), int32(0))
	is.Equal(served.Load(), int32(1))
}

// Guards against a drain or a restore that a host forwards after its caller has moved on to
// another host: the calls have no version, so an old one undoes a newer one.
func TestDrainIsNotForwarded(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	var forwarded atomic.Int32
	leader := peer.NewServer(timeline.NewClock(time.Now))
	leader.Register(wire.MethodOperatorCommand, peer.Handle(func(context.Context, wire.Proposal) (wire.ProposalReply, error) {
		forwarded.Add(1)
		return wire.ProposalReply{Status: wire.ProposalDropped}, nil
	}))
	go func() { _ = leader.Serve(listener, nil) }() // ends with its listener
	t.Cleanup(func() { _ = listener.Close(); leader.Close() })

	h := followerOf(&fakeLeader{address: listener.Addr().String()})
	h.logger, h.settings = zap.NewNop(), &settings.Settings{}
	h.settings.Listen.Control = "127.0.0.1:8001"
	var redirect *controlapi.RedirectError
	is.True(errors.As(h.DrainDataCentre(context.Background(), "dc1", false), &redirect))
	is.Equal(redirect.Address, "127.0.0.1:8001") // the leader's host, with the port for calls
	is.Equal(forwarded.Load(), int32(0))
}

// Guards against a leader that cannot commit yet and commits a call once it can, although the
// caller has moved on meanwhile.
func TestDrainOfDisconnectedCallerIsNotCommitted(t *testing.T) {
	is := is.New(t)
	h := followerOf(&fakeLeader{address: "127.0.0.1:1"})
	h.knownLeader.set(leaderLocation{address: "127.0.0.1:1", isThisHost: true, term: 2})
	var commits atomic.Int32
	done := make(chan error, 1)
	disconnect := make(chan struct{})
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, err := h.commitAsLeader(context.WithoutCancel(r.Context()), wire.Proposal{}, func(context.Context, wire.Proposal) (wire.ProposalReply, error) {
			if commits.Add(1) == 1 {
				close(disconnect)
				for !callerconn.Disconnected(r.Context()) {
					time.Sleep(time.Millisecond)
				}
			}
			return wire.ProposalReply{Status: wire.ProposalDropped}, nil
		})
		done <- err
	}))
	server.Config.ConnContext = callerconn.WithConn
	server.Start()
	defer server.Close()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	is.NoErr(err)
	_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: control\r\nContent-Length: 0\r\n\r\n")
	is.NoErr(err)
	<-disconnect
	is.NoErr(conn.Close())
	is.True(<-done != nil)
	is.Equal(commits.Load(), int32(1))
}
