package pipeline

import (
	"context"
	"net/http"

	"go.uber.org/zap"
)

// call is a request that was begun ahead of its turn.
type call struct {
	front   *Front
	request *http.Request
	cancel  context.CancelFunc
	answer  *heldAnswer
	done    chan struct{} // closed when the handler has ended
	// panicked is what the handler panicked with, set before done is closed.
	panicked any
}

func newCall(f *Front, r *http.Request, cancel context.CancelFunc) *call {
	return &call{front: f, request: r, cancel: cancel, answer: newHeldAnswer(f), done: make(chan struct{})}
}

// run calls the handler.
func (a *call) run(next http.Handler) {
	defer func() {
		a.panicked = recover() // deliver panics with it
		a.front.calls.Add(-1)
		a.cancel()
		close(a.done)
	}()
	next.ServeHTTP(a.answer, a.request)
}

// deliver writes the answer to w, of which a part may be still to come. r is the request as
// net/http has read it.
func (a *call) deliver(w *turnWriter, r *http.Request) {
	stop := context.AfterFunc(r.Context(), a.cancel)
	defer stop()
	a.answer.attach(w)
	<-a.done
	if a.panicked != nil {
		panic(a.panicked)
	}
	a.answer.finish()
}

// abandonAll ends calls that will not be delivered.
func abandonAll(calls []*call) {
	for _, a := range calls {
		a.cancel()
		a.answer.abandon()
	}
	if len(calls) > 0 {
		counters.Add(countAbandoned, int64(len(calls)))
		calls[0].front.cfg.Logger.Info("requests begun ahead of their turn are abandoned with their connection",
			zap.String("caller", calls[0].request.RemoteAddr), zap.Int("requests", len(calls)))
	}
}
