package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/agatestep/agatestep/internal/callerconn"
	"github.com/agatestep/agatestep/internal/verdict"
)

// A change is acknowledged without a look at who has it. What makes the acknowledgement
// true is that no host acts by a table that may lack the change once its bound is over.

const (
	// currentShare is the part of a request's time, and maxCurrentWait the longest time,
	// for which it waits until the table is confirmed.
	currentShare   = 0.2
	maxCurrentWait = 400 * time.Millisecond
	// untoldTime is how long callers are taken to wait that do not say it.
	untoldTime = 2 * time.Second
	// currentRetry is when the caller of a request returns that was refused for the age
	// of the table: a round of confirmations.
	currentRetry = 500 * time.Millisecond
	// unreadyAge is the age of the table, in bounds, from which callers are sent to other
	// hosts.
	unreadyAge = 3
)

// oldTable returns the age of the routing table, and whether it is past its bound.
func (g *Gateway) oldTable() (age time.Duration, old bool) {
	age = g.tableAge()
	return age, g.cfg.Limits.TableFor > 0 && age > g.cfg.Limits.TableFor
}

// awaitCurrent waits for a moment until the table is confirmed. It returns a refusal if
// the table must not be used.
func (g *Gateway) awaitCurrent(ctx context.Context, left time.Duration) *verdict.Error {
	if _, old := g.oldTable(); !old {
		return nil
	}
	most := min(time.Duration(currentShare*float64(left)), maxCurrentWait)
	for end := g.cfg.Clock.Now().Add(most); ; {
		confirmed := g.confirmation()
		age, old := g.oldTable()
		if !old {
			return nil
		}
		wait := end.Sub(g.cfg.Clock.Now())
		if wait <= 0 || ctx.Err() != nil {
			return g.refuseOld(age)
		}
		waitFor(ctx, confirmed, wait)
	}
}

// TableConfirmed wakes the requests that wait until the table is confirmed.
func (g *Gateway) TableConfirmed() {
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.confirmed)
	g.confirmed = make(chan struct{})
}

// confirmation returns a channel that the next confirmation of the table closes.
func (g *Gateway) confirmation() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.confirmed
}

// refuseOld is the refusal of what must not be decided by a table of this age.
func (g *Gateway) refuseOld(age time.Duration) *verdict.Error {
	if g.cfg.TableAsOf().IsZero() {
		return verdict.Unavailable(verdict.ReasonOldTable, "the routing table was not confirmed yet")
	}
	return verdict.Unavailable(verdict.ReasonOldTable, "the routing table was not confirmed for "+age.Round(time.Millisecond).String())
}

// mayWrite is the last look before a request is written: the table may have turned old,
// the server may be leaving, or the caller may have left, since it was chosen.
func (g *Gateway) mayWrite(c *call, t target) *verdict.Error {
	if callerconn.Left(c.request.Context()) {
		return verdict.Unavailable(verdict.ReasonCancelled, "the caller went away before the request was sent")
	}
	if age, old := g.oldTable(); old {
		g.cfg.Logger.Info("not sent by an old table", append(c.fields(), zap.String("backend", t.backend.Name), zap.Duration("table_age", age))...)
		return g.refuseOld(age)
	}
	if g.retargeted(c, t) {
		return verdict.Unavailable(verdict.ReasonRetargeted, "the backend server is no longer the right one")
	}
	return nil
}
