package gateway

import (
	"context"
	"time"

	"github.com/agatestep/agatestep/internal/allowance"
	"github.com/agatestep/agatestep/internal/verdict"
)

// AllowanceClient grants the requests of organisations within their allowances over all hosts.
type AllowanceClient interface {
	// Admit returns a ticket for a request. It waits for the lender for at most maxWait. If
	// the request is refused, retryAfter is when it will be within the allowance.
	Admit(ctx context.Context, organisation string, maxWait time.Duration) (t allowance.Ticket, retryAfter time.Duration, refusal *verdict.Error)
	// Live reports whether a ticket may still be spent.
	Live(t allowance.Ticket) bool
	// Spend is called just before a request is sent, and reports whether it may be.
	Spend(t allowance.Ticket) bool
	// Restore is called for a request that was sent and did not run. The ticket is held again
	// if it returns true.
	Restore(t allowance.Ticket) bool
	// Return gives a ticket back that was not spent.
	Return(t allowance.Ticket)
}

const (
	// maxAllowanceWaitShare is the part of a request's time for which it waits for the lender,
	// maxAllowanceWait the longest such time: an election takes less.
	maxAllowanceWaitShare = 0.35
	maxAllowanceWait      = 1200 * time.Millisecond
)

// callTickets are the tickets of a call: one that is held, and the one spent last.
type callTickets struct{ held, spent allowance.Ticket }

// hasAllowance reports whether the requests of a call's organisation are limited.
func (g *Gateway) hasAllowance(c *call) bool {
	return g.cfg.Allowances != nil && c.caller != nil && c.caller.Rate > 0
}

// ensureAllowance makes sure that a call may be sent within the allowance of its organisation.
// A ticket may have expired while the call waited, and each attempt needs one.
func (g *Gateway) ensureAllowance(ctx context.Context, c *call) (refusal *verdict.Error, retryAfter time.Duration) {
	c.tickets.spent = allowance.Ticket{} // an earlier attempt may have run
	if !g.hasAllowance(c) || g.cfg.Allowances.Live(c.tickets.held) {
		return nil, 0
	}
	g.returnAllowance(c)
	wait := time.Duration(maxAllowanceWaitShare * float64(g.timeLeft(c, g.cfg.Clock.Now())))
	c.tickets.held, retryAfter, refusal = g.cfg.Allowances.Admit(ctx, c.caller.Name, min(wait, maxAllowanceWait))
	return refusal, retryAfter
}

// spendAllowance is called just before a call is sent. It refuses a ticket that has expired
// meanwhile, such as while this host was frozen.
func (g *Gateway) spendAllowance(c *call) *verdict.Error {
	if !g.hasAllowance(c) {
		return nil
	}
	if !g.cfg.Allowances.Spend(c.tickets.held) {
		return verdict.Unavailable(verdict.ReasonAllowanceExpired, "the allowance expired before the request was sent")
	}
	c.tickets = callTickets{spent: c.tickets.held}
	return nil
}

// restoreAllowance lets a call use the ticket again with which it was sent and did not run.
func (g *Gateway) restoreAllowance(c *call) {
	if c.tickets.spent.Held() && g.cfg.Allowances.Restore(c.tickets.spent) {
		c.tickets.held = c.tickets.spent
	}
	c.tickets.spent = allowance.Ticket{}
}

// returnAllowance gives the ticket back that a call holds.
func (g *Gateway) returnAllowance(c *call) {
	if c.tickets.held.Held() {
		g.cfg.Allowances.Return(c.tickets.held)
		c.tickets.held = allowance.Ticket{}
	}
}
