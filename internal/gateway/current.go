package gateway

import (
	"time"

	"go.uber.org/zap"
)

// decision is what a host does by its routing table, in counters and log lines.
type decision string

const (
	decisionNoRoute decision = "no-route"
	decisionSent    decision = "sent"
)

// oldTable returns the age of the routing table, and whether it is past its bound.
func (g *Gateway) oldTable() (age time.Duration, old bool) {
	age = g.tableAge()
	return age, g.cfg.Limits.TableFor > 0 && age > g.cfg.Limits.TableFor
}

// noteOldTable counts and logs what is decided by a table that is past its bound.
func (g *Gateway) noteOldTable(d decision, c *call) {
	age, old := g.oldTable()
	if !old {
		return
	}
	g.counters.OldTable.Add(string(d), 1)
	g.cfg.Logger.Info("decided by an old table", append(c.fields(), zap.String("decision", string(d)), zap.Duration("table_age", age),
		zap.Uint64("revision", g.cfg.Tables().Revision()))...)
}
