package control

import (
	"context"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/agatestep/agatestep/internal/table"
)

// From the acknowledgement of a change on, entry hosts have a bounded time to act on it.
// An acknowledgement therefore waits for the hosts that follow the table, so that the
// bound does not have to cover the way of the news to hosts on crowded links.
const (
	// ackWait bounds this wait. Backend servers and operators wait a second for an
	// answer, and the commit and the ways need their part of it.
	ackWait = 500 * time.Millisecond
	// ackLook is the time between two looks at what hosts have applied.
	ackLook = 25 * time.Millisecond
	// followTime is how long a host that asks for no change counts as following: a
	// poll and the longest ways of a crowded link.
	followTime = 2 * time.Second
)

// follower is what the leader knows of an entry host's table.
type follower struct {
	applied uint64
	asked   time.Time
}

// promise is a recorded change whose acknowledgement waits for hosts.
type promise struct {
	revision uint64
	until    time.Time
}

// patchPromise is the key of a patch, which is the same when it is sent again. Patches
// that follow each other quickly do not wait for the later ones.
func patchPromise(encoded []byte) string {
	return "patch " + strconv.FormatUint(xxhash.Sum64(encoded), 16)
}

// leavingPromise is the key of the end of a backend server.
func leavingPromise(service, backend string) string { return "backend " + service + "/" + backend }

// noteFollower takes note of the revision that a host has applied when it asks for
// later ones.
func (l *Leader) noteFollower(host string, applied uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.followers[host] = follower{applied: applied, asked: l.cfg.Clock.Now()}
}

// promised takes note of a recorded change.
func (l *Leader) promised(key string, revision uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.cfg.Clock.Now()
	for old, p := range l.promises {
		if !now.Before(p.until) {
			delete(l.promises, old)
		}
	}
	l.promises[key] = promise{revision: revision, until: now.Add(ackWait)}
}

// awaitHosts waits until the hosts that follow the table have applied a change, or its
// time is over. It returns at once for a change that is older.
func (l *Leader) awaitHosts(ctx context.Context, key string) {
	ticker := time.NewTicker(ackLook)
	defer ticker.Stop()
	for {
		behind, over := l.behind(key)
		if len(behind) == 0 {
			return
		}
		if over {
			l.cfg.Logger.Info("change acknowledged before all hosts have it", zap.String("change", key), zap.Strings("hosts", behind))
			return
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// behind returns the hosts that a change still waits for, and whether its time is over.
func (l *Leader) behind(key string) (hosts []string, over bool) {
	began := l.cfg.Clock.Now()
	defer func() { l.cfg.Worked("look for hosts behind", l.cfg.Clock.Now().Sub(began)) }()
	l.mu.Lock()
	defer l.mu.Unlock()
	p, waits := l.promises[key]
	r, _, leads := l.lead()
	if !waits || !leads {
		return nil, false
	}
	for _, h := range l.cfg.State.Table().Hosts() {
		if l.lacks(&h, p.revision, r) {
			hosts = append(hosts, h.Name)
		}
	}
	if over = !r.now.Before(p.until); over || len(hosts) == 0 {
		delete(l.promises, key)
	}
	return hosts, over
}

// lacks reports whether a host in touch has not applied a revision. During the first
// moments of a leader, hosts may not have found it yet. The caller holds l.mu.
func (l *Leader) lacks(h *table.Host, revision uint64, r leadership) bool {
	f, known := l.followers[h.Name]
	if !known {
		return r.now.Sub(r.electedAt) < followTime
	}
	return f.applied < revision && r.now.Sub(f.asked) < followTime
}
