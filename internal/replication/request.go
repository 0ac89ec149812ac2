package replication

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
)

type requestKind uint8

const (
	requestPropose requestKind = iota + 1
	requestRead
	requestChange
	requestTransfer
)

// request is a call that waits for the node's goroutine.
type request struct {
	kind       requestKind
	ctx        context.Context
	data       []byte
	changeKind ChangeKind
	id         ReplicaID
	// claimed is set by whichever comes first: the node's goroutine, which
	// processes the request, or the caller, which abandons it.
	claimed atomic.Bool
	done    chan outcome // buffered, so that finish never blocks
}

type outcome struct {
	index  uint64
	result []byte
	err    error
}

func newRequest(ctx context.Context, kind requestKind) *request {
	return &request{kind: kind, ctx: ctx, done: make(chan outcome, 1)}
}

func (r *request) finish(o outcome) { r.done <- o }

func (r *request) fail(err error) { r.finish(outcome{err: err}) }

// handleRequests processes a batch of requests; proposals share one append and
// one sync.
func (d *driver) handleRequests(batch []*request) {
	var proposals []*request
	for _, req := range batch {
		if !req.claimed.CompareAndSwap(false, true) {
			continue
		}
		switch {
		case d.err != nil:
			req.fail(stoppedBy(d.err))
		case req.kind == requestPropose:
			proposals = append(proposals, req)
		case req.kind == requestRead:
			d.startRead(req)
		case req.kind == requestChange:
			d.startChange(req)
		case req.kind == requestTransfer:
			d.startTransfer(req)
		}
	}
	d.propose(proposals)
}

func (d *driver) propose(batch []*request) {
	if len(batch) == 0 {
		return
	}
	commands := make([][]byte, len(batch))
	for i, req := range batch {
		commands[i] = req.data
	}
	first, err := d.core.Propose(commands...)
	if err != nil {
		d.counters.proposalsDropped.Add(uint64(len(batch)))
	} else {
		d.counters.proposals.Add(uint64(len(batch)))
	}
	for i, req := range batch {
		if err != nil {
			req.fail(err)
		} else {
			d.waiters[first+uint64(i)] = waiter{d.core.term, req}
		}
	}
}

func (d *driver) startRead(req *request) {
	d.nextRead++
	if err := d.core.ReadIndex(d.nextRead); err != nil {
		req.fail(err)
		return
	}
	d.reads[d.nextRead] = req
}

// startChange proposes a membership change, or keeps it for the next tick if it
// has to wait for an earlier change or for the learner to catch up.
func (d *driver) startChange(req *request) {
	if err := req.ctx.Err(); err != nil {
		req.fail(fmt.Errorf("%w: %w", ErrProposalDropped, err))
		return
	}
	index, err := d.core.ProposeChange(req.changeKind, req.id)
	switch {
	case err == ErrChangeInProgress || err == ErrNotCaughtUp:
		d.changes = append(d.changes, req)
	case err != nil:
		req.fail(err)
	case index == 0:
		// The member list is already as requested, but a deposed leader may see
		// an old one: confirm the leadership first.
		d.startRead(req)
	default:
		d.waiters[index] = waiter{d.core.term, req}
	}
}

func (d *driver) startTransfer(req *request) {
	if err := d.core.TransferLeadership(req.id); err != nil {
		req.fail(err)
		return
	}
	d.transfers = append(d.transfers, req)
}

// resolvePending answers the pending requests after this replica lost the
// leadership or failed.
func (d *driver) resolvePending() {
	d.resolveTransfers()
	if d.core.role == leader && d.err == nil {
		return
	}
	refused := notLeader(d.core.leader)
	if d.err != nil {
		refused = stoppedBy(d.err)
	}
	for index, w := range d.waiters {
		d.counters.outcomesUnknown.Add(1)
		w.req.fail(ErrOutcomeUnknown)
		delete(d.waiters, index)
	}
	for id, req := range d.reads {
		req.fail(refused)
		delete(d.reads, id)
	}
	for _, req := range d.changes {
		req.fail(refused)
	}
	d.changes = nil
}

// resolveTransfers answers transfers once another replica leads or the transfer
// was abandoned.
func (d *driver) resolveTransfers() {
	c := d.core
	d.transfers = slices.DeleteFunc(d.transfers, func(req *request) bool {
		switch {
		case d.err != nil:
			req.fail(stoppedBy(d.err))
		case c.leader == req.id:
			req.fail(nil)
		case c.role == leader && c.transfer == nil || c.role == follower && c.leader != "":
			req.fail(ErrTransferFailed)
		default:
			return false
		}
		return true
	})
}

// stop answers all pending requests and publishes the final status.
func (d *driver) stop() {
	d.fail(ErrStopped)
	d.resolvePending()
	d.publish()
}
