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
	kind   requestKind
	ctx    context.Context
	data   []byte
	change ChangeKind
	id     ReplicaID
	// claimed is set by whoever comes first: the node's goroutine, which takes
	// the request, or the caller, which gives it up.
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

// accept takes a batch of requests; proposals share one append and one sync.
func (d *driver) accept(batch []*request) {
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
			d.read(req)
		case req.kind == requestChange:
			d.change(req)
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
		d.counters.dropped.Add(uint64(len(batch)))
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

func (d *driver) read(req *request) {
	d.nextRead++
	if err := d.core.ReadIndex(d.nextRead); err != nil {
		req.fail(err)
		return
	}
	d.reads[d.nextRead] = req
}

// change proposes a membership change, or keeps it for the next tick if it has
// to wait for its turn or for the learner.
func (d *driver) change(req *request) {
	if err := req.ctx.Err(); err != nil {
		req.fail(fmt.Errorf("%w: %w", ErrProposalDropped, err))
		return
	}
	index, err := d.core.ProposeChange(req.change, req.id)
	switch {
	case err == ErrChangeInProgress || err == ErrNotCaughtUp:
		d.changes = append(d.changes, req)
	case err != nil:
		req.fail(err)
	case index == 0:
		// The member list is already as asked for, but a deposed leader may see
		// an old one: confirm the leadership first.
		d.read(req)
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

// settle answers the requests that a loss of leadership or a failure decides.
func (d *driver) settle() {
	d.settleTransfers()
	if d.core.role == leader && d.err == nil {
		return
	}
	refused := notLeader(d.core.leader)
	if d.err != nil {
		refused = stoppedBy(d.err)
	}
	for index, w := range d.waiters {
		d.counters.unknown.Add(1)
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

// settleTransfers answers transfers once another replica leads or the transfer
// was given up.
func (d *driver) settleTransfers() {
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

// stop answers everything that is still waiting.
func (d *driver) stop() {
	d.fail(ErrStopped)
	d.settle()
	d.publish()
}
