package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/agatestep/agatestep/internal/callerconn"
	"github.com/agatestep/agatestep/internal/verdict"
)

// A change of the table is acknowledged without checking which hosts have received it. The
// acknowledgement holds because no host uses a table that has not been confirmed within
// Limits.MaxTableAge.

const (
	// tableWaitShare is the part of a request's time, and maxTableWait the longest time,
	// for which it waits until the table is confirmed.
	tableWaitShare = 0.2
	maxTableWait   = 400 * time.Millisecond
	// defaultCallerTimeout is assumed for callers that do not state how long they wait.
	defaultCallerTimeout = 2 * time.Second
	// staleTableRetryAfter is the Retry-After of requests that are refused because the table
	// is stale: one round of confirmations.
	staleTableRetryAfter = 500 * time.Millisecond
	// unreadyAgeFactor is the table age at which this host stops being ready, as a multiple
	// of Limits.MaxTableAge.
	unreadyAgeFactor = 3
)

// checkTableAge returns the age of the routing table, and whether it exceeds its bound.
func (g *Gateway) checkTableAge() (age time.Duration, stale bool) {
	age = g.tableAge()
	return age, g.cfg.Limits.MaxTableAge > 0 && age > g.cfg.Limits.MaxTableAge
}

// awaitFreshTable waits a limited time until a stale table is confirmed. It returns a
// refusal if the table stays stale.
func (g *Gateway) awaitFreshTable(ctx context.Context, left time.Duration) *verdict.Error {
	if _, stale := g.checkTableAge(); !stale {
		return nil
	}
	maxWait := min(time.Duration(tableWaitShare*float64(left)), maxTableWait)
	for end := g.cfg.Clock.Now().Add(maxWait); ; {
		confirmed := g.nextConfirmation()
		age, stale := g.checkTableAge()
		if !stale {
			return nil
		}
		wait := end.Sub(g.cfg.Clock.Now())
		if wait <= 0 || ctx.Err() != nil {
			return g.staleTableError(age)
		}
		waitForChange(ctx, confirmed, wait)
	}
}

// TableConfirmed wakes the requests that wait until the table is confirmed.
func (g *Gateway) TableConfirmed() {
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.tableConfirmed)
	g.tableConfirmed = make(chan struct{})
}

// nextConfirmation returns a channel that the next confirmation of the table closes.
func (g *Gateway) nextConfirmation() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.tableConfirmed
}

// staleTableError returns the refusal for a table of this age.
func (g *Gateway) staleTableError(age time.Duration) *verdict.Error {
	if g.cfg.TableAsOf().IsZero() {
		return verdict.Unavailable(verdict.ReasonOldTable, "the routing table was not confirmed yet")
	}
	return verdict.Unavailable(verdict.ReasonOldTable, "the routing table was not confirmed for "+age.Round(time.Millisecond).String())
}

// checkBeforeWrite is the last check before a request is written: since the target was
// chosen, the table may have become stale, the server may have announced that it leaves, or
// the caller may have disconnected.
func (g *Gateway) checkBeforeWrite(c *call, t target) *verdict.Error {
	if callerconn.Disconnected(c.request.Context()) {
		return verdict.Unavailable(verdict.ReasonCancelled, "the caller went away before the request was sent")
	}
	if age, stale := g.checkTableAge(); stale {
		g.cfg.Logger.Info("not sent by an old table", append(c.logFields(), zap.String("backend", t.backend.Name), zap.Duration("table_age", age))...)
		return g.staleTableError(age)
	}
	if g.targetInvalid(c, t) {
		return verdict.Unavailable(verdict.ReasonRetargeted, "the backend server is no longer the right one")
	}
	if !g.reserveSend(c, t) {
		return verdict.Unavailable(verdict.ReasonRetargeted, "another process may be at the address of the backend server")
	}
	return nil
}
