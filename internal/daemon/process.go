package daemon

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"github.com/agatestep/agatestep/internal/callerconn"
	"github.com/agatestep/agatestep/internal/clock"
	"github.com/agatestep/agatestep/internal/egress"
	"github.com/agatestep/agatestep/internal/logging"
	"github.com/agatestep/agatestep/internal/peer"
	"github.com/agatestep/agatestep/internal/settings"
	"github.com/agatestep/agatestep/internal/timeline"
)

// process holds what the processes of all roles have in common.
type process struct {
	settings *settings.Settings
	logger   *zap.Logger
	events   *timeline.Ring
	clock    clock.Clock
	instance string

	serverTLS  *tls.Config
	clientTLS  *tls.Config
	client     *peer.Client // calls
	bulkClient *peer.Client // messages of the replicated log, and table watches
	peerServer *peer.Server
	link       *egress.Link // of an entry host; nil if its bandwidth is not known

	listeners map[string]net.Listener
	servers   []*http.Server
	// background waits for the loops that end when cancel is called.
	background sync.WaitGroup
	cancel     context.CancelFunc
}

func newProcess(cfg *settings.Settings, logger *zap.Logger) (*process, error) {
	p := &process{settings: cfg, logger: logger, clock: clock.Real{}, instance: rand.Text(), listeners: map[string]net.Listener{}}
	hlc := timeline.NewClock(p.clock.Now)
	p.events = timeline.NewRing(cfg.Host, hlc, timeline.DefaultCapacity)
	if err := p.loadTLS(); err != nil {
		return nil, errors.Trace(err)
	}
	p.client = peer.NewClient(hlc, p.clientTLS)
	p.bulkClient = peer.NewClient(hlc, p.clientTLS)
	p.peerServer = peer.NewServer(hlc)
	if cfg.Deployment.Role == settings.RoleEntry { // other hosts do not report their link
		p.link = egress.New(bytesPerMbit * cfg.Limits.LinkMbps)
	}
	p.client.Traffic, p.bulkClient.Traffic = processMetrics.callTraffic, processMetrics.callTraffic
	p.client.Link, p.bulkClient.Link, p.peerServer.Link = p.link, p.link, p.link
	return p, nil
}

func (p *process) loadTLS() error {
	t := p.settings.TLS
	if t.Mode != settings.TLSMutual {
		return nil
	}
	var err error
	p.serverTLS, p.clientTLS, err = peer.LoadTLS(peer.TLSFiles{CertFile: t.CertFile, KeyFile: t.KeyFile, CAFile: t.CAFile})
	return errors.Trace(err)
}

// Names of the listeners of a process.
const (
	listenTraffic   = "traffic"
	listenBackends  = "backends"
	listenPeer      = "peer"
	listenRelay     = "relay"
	listenAdmin     = "admin"
	listenReadiness = "readiness"
	listenControl   = "control"
)

func (p *process) openListeners(addresses map[string]string) error {
	for name, address := range addresses {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return errors.Annotatef(err, "opening the %s listener", name)
		}
		p.listeners[name] = listener
	}
	return nil
}

func (p *process) closeListeners() {
	for _, l := range p.listeners {
		_ = l.Close()
	}
}

// headerReadTimeout bounds the time that a connection may take to send its headers.
const headerReadTimeout = 10 * time.Second

// idleTimeout is how long an idle connection is kept open.
const idleTimeout = 2 * time.Minute

// limitConns returns a listener that applies the limit on open connections.
func (p *process) limitConns(name string) net.Listener {
	return callerconn.LimitListener(p.listeners[name], p.settings.Limits.Connections)
}

func (p *process) serveHTTP(name string, handler http.Handler, config *tls.Config) *http.Server {
	listener := p.limitConns(name)
	if config != nil {
		listener = tls.NewListener(listener, config)
	}
	return p.serveListener(name, listener, handler)
}

// serveCalls serves calls of operators and backend servers.
func (p *process) serveCalls(name string, handler http.Handler, config *tls.Config) *http.Server {
	return p.serveHTTP(name, p.dropAbandoned(handler), config)
}

func (p *process) serveListener(name string, listener net.Listener, handler http.Handler) *http.Server {
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerReadTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    p.settings.Limits.HeaderBytes,
		ErrorLog:          zap.NewStdLog(p.logger),
		ConnState:         trackConnState,
		ConnContext:       withConn,
	}
	p.servers = append(p.servers, server)
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			p.logger.Error("listener failed", zap.String("listener", name), logging.Error(err))
		}
	}()
	return server
}

func (p *process) stopServers(ctx context.Context) {
	p.cancel()
	for _, server := range p.servers {
		if err := server.Shutdown(ctx); err != nil {
			_ = server.Close()
		}
	}
	p.closeListeners()
	p.peerServer.Close()
	p.client.Close()
	p.bulkClient.Close()
	p.background.Wait()
}

// record adds an event to the timeline and counts it by kind.
func (p *process) record(kind, subject, detail string) {
	p.events.Record(kind, subject, detail)
	processMetrics.events.Add(kind, 1)
}
