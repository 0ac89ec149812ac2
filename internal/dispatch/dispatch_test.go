package dispatch

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/agatestep/agatestep/internal/wire"
)

// Guards the basic path: order, lease, one request with its headers.
func TestRequestCarriesRightsOfDispatcher(t *testing.T) {
	w := newWorld(t, nil).ready()
	w.pass(100 * time.Millisecond)
	body, err := w.do(context.Background(), w.request("r1", http.MethodPost, "hello"))
	w.Equal(err, nil)
	w.Equal(body, "hello")
	w.Equal(headerInt(w.b.last, wire.HeaderEpoch), int64(7))
	w.Equal(w.b.last.Get(wire.HeaderSlice), "0000000000000000")
	// The lease of 1 s was counted from clock reading 5000; the deadline is later.
	w.Equal(headerInt(w.b.last, wire.HeaderStartBy), int64(6000))
	w.Equal(headerInt(w.b.last, wire.HeaderDeadline), int64(7100))
}
