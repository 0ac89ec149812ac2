package replication

import (
	"context"
	"fmt"
	"sync"
	"time"
)

const (
	// inboxMessages is the capacity of the queue of received messages; further
	// ones are dropped, as if the network had lost them.
	inboxMessages = 4096
	// maxBatch bounds the requests and messages processed in one batch, so that
	// ticks are not delayed without limit.
	maxBatch = 1024
	// maxBatchBytes bounds the commands and entries processed in one batch,
	// which are stored as one record.
	maxBatchBytes = 8 << 20
	// MaxCommandBytes is the largest command that can be proposed.
	MaxCommandBytes = 4 << 20
)

// Node runs one replica. One goroutine owns the protocol state and calls the
// state machine; the methods are safe for concurrent use.
type Node struct {
	driver   *driver
	inbox    chan Message
	requests chan *request
	stop     chan struct{}
	stopOnce sync.Once
	stopped  chan struct{}
}

// Start starts a replica on its store. A replica with an empty store waits
// until it is bootstrapped and restarted, or added to a group as a learner.
func Start(cfg Config) (*Node, error) {
	d, err := newDriver(cfg)
	if err != nil {
		return nil, err
	}
	n := &Node{driver: d, inbox: make(chan Message, inboxMessages), requests: make(chan *request, maxBatch),
		stop: make(chan struct{}), stopped: make(chan struct{})}
	ticks, release := cfg.Ticks, func() {}
	if ticks == nil {
		ticker := time.NewTicker(d.cfg.Tick)
		ticks, release = ticker.C, ticker.Stop
	}
	go func() {
		defer release()
		n.run(ticks)
	}()
	return n, nil
}

func (n *Node) run(ticks <-chan time.Time) {
	defer close(n.stopped)
	for {
		select {
		case <-n.stop:
			n.driver.stop()
			return
		case <-ticks:
			n.driver.loop.enter(StageInput)
			n.driver.tick()
		case m := <-n.inbox:
			n.driver.loop.enter(StageInput)
			n.drainInbox(m)
		case req := <-n.requests:
			n.driver.loop.enter(StageInput)
			n.driver.handleRequests(n.drainRequests(req))
		}
		n.driver.process()
	}
}

func (n *Node) drainInbox(m Message) {
	size := 0
	for range maxBatch {
		n.driver.step(m)
		for _, e := range m.Entries {
			size += len(e.Data)
		}
		if size >= maxBatchBytes {
			return
		}
		select {
		case m = <-n.inbox:
		default:
			return
		}
	}
}

func (n *Node) drainRequests(first *request) []*request {
	batch, size := []*request{first}, len(first.data)
	for len(batch) < maxBatch && size < maxBatchBytes {
		select {
		case req := <-n.requests:
			batch, size = append(batch, req), size+len(req.data)
		default:
			return batch
		}
	}
	return batch
}

// submit passes a request to the node's goroutine and waits for the outcome.
// dropped and unknown are the errors for a caller whose context ends before and
// after the goroutine claimed the request.
func (n *Node) submit(req *request, dropped, unknown error) outcome {
	select {
	case n.requests <- req:
	case <-n.stopped:
		return outcome{err: ErrStopped}
	case <-req.ctx.Done():
		return outcome{err: fmt.Errorf("%w: %w", dropped, req.ctx.Err())}
	}
	select {
	case o := <-req.done:
		return o
	case <-n.stopped:
	case <-req.ctx.Done():
	}
	if req.claimed.CompareAndSwap(false, true) {
		if req.ctx.Err() != nil {
			return outcome{err: fmt.Errorf("%w: %w", dropped, req.ctx.Err())}
		}
		return outcome{err: ErrStopped}
	}
	select {
	case o := <-req.done:
		return o
	default:
		return outcome{err: fmt.Errorf("%w: %w", unknown, req.ctx.Err())}
	}
}

// Propose commits a command and returns its index and the result of applying
// it. ErrNotLeader, ErrStopped, ErrProposalDropped and ErrTooLarge mean that it is
// certainly not committed; ErrOutcomeUnknown means that it may be.
func (n *Node) Propose(ctx context.Context, command []byte) (uint64, []byte, error) {
	if len(command) > MaxCommandBytes {
		return 0, nil, ErrTooLarge
	}
	req := newRequest(ctx, requestPropose)
	req.data = command
	o := n.submit(req, ErrProposalDropped, ErrOutcomeUnknown)
	return o.index, o.result, o.err
}

// ReadIndex returns an index such that every command acknowledged before the
// call is at or below it. On return this leader's state machine has applied
// the entry at that index.
func (n *Node) ReadIndex(ctx context.Context) (uint64, error) {
	o := n.submit(newRequest(ctx, requestRead), errReadNotConfirmed, errReadNotConfirmed)
	return o.index, o.err
}

// AddLearner adds a replica as a learner, which receives the log without a vote.
func (n *Node) AddLearner(ctx context.Context, id ReplicaID) error {
	return n.changeMembers(ctx, ChangeAddLearner, id)
}

// Promote makes a learner a voter; it waits until the learner has caught up.
func (n *Node) Promote(ctx context.Context, id ReplicaID) error {
	return n.changeMembers(ctx, ChangePromote, id)
}

// Remove removes a replica from the group.
func (n *Node) Remove(ctx context.Context, id ReplicaID) error {
	return n.changeMembers(ctx, ChangeRemove, id)
}

func (n *Node) changeMembers(ctx context.Context, kind ChangeKind, id ReplicaID) error {
	req := newRequest(ctx, requestChange)
	req.changeKind, req.id = kind, id
	return n.submit(req, ErrProposalDropped, ErrOutcomeUnknown).err
}

// TransferLeadership hands leadership to another voter and waits until it leads.
func (n *Node) TransferLeadership(ctx context.Context, to ReplicaID) error {
	req := newRequest(ctx, requestTransfer)
	req.id = to
	return n.submit(req, ErrTransferFailed, ErrTransferFailed).err
}

// Receive queues a message from another replica. It never blocks; when the
// queue is full, the message is dropped.
func (n *Node) Receive(m Message) {
	select {
	case n.inbox <- m:
	default:
		n.driver.counters.messagesDropped.Add(1)
	}
}

// Status returns the current status.
func (n *Node) Status() Status { return n.driver.currentStatus() }

// Stop stops the replica and waits for its goroutine to end. It does not close
// the store.
func (n *Node) Stop() {
	n.stopOnce.Do(func() { close(n.stop) })
	<-n.stopped
}
