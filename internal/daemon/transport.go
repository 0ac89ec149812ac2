package daemon

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/agatestep/agatestep/internal/peer"
	"github.com/agatestep/agatestep/internal/replication"
	"github.com/agatestep/agatestep/internal/wire"
)

// sendQueueLen bounds the messages that wait for one replica. The replication protocol
// sends dropped messages again.
const sendQueueLen = 256

// logTransport sends messages of the replicated log. Each destination has its own
// goroutine, so that an unresponsive one does not block the others.
type logTransport struct {
	ctx     context.Context
	client  *peer.Client
	resolve func(host string) (address string, ok bool)

	mu      sync.Mutex
	queues  map[string]chan replication.Message
	dropped atomic.Int64
}

func newLogTransport(ctx context.Context, client *peer.Client, resolve func(host string) (string, bool)) *logTransport {
	return &logTransport{
		ctx: ctx, client: client, resolve: resolve,
		queues: map[string]chan replication.Message{},
	}
}

// Send implements replication.Transport.
func (t *logTransport) Send(m replication.Message) {
	address, ok := t.resolve(m.To.Host())
	if !ok {
		t.dropped.Add(1)
		return
	}
	select {
	case t.queue(address) <- m:
	default:
		t.dropped.Add(1)
	}
}

func (t *logTransport) queue(address string) chan replication.Message {
	t.mu.Lock()
	defer t.mu.Unlock()
	queue, ok := t.queues[address]
	if !ok {
		queue = make(chan replication.Message, sendQueueLen)
		t.queues[address] = queue
		go t.deliverLoop(address, queue)
	}
	return queue
}

func (t *logTransport) deliverLoop(address string, queue <-chan replication.Message) {
	for {
		select {
		case <-t.ctx.Done():
			return
		case m := <-queue:
			if err := t.deliverOne(address, m); err != nil {
				t.dropped.Add(1)
			}
		}
	}
}

func (t *logTransport) deliverOne(address string, m replication.Message) error {
	data, err := m.Encode()
	if err != nil {
		return err
	}
	return t.client.Notify(t.ctx, address, wire.MethodReplicationStep, wire.ReplicationStep{Message: data})
}
