package peer

import (
	"expvar"
	"sync"
)

// Traffic counts the calls of a client and their bytes by method. It implements expvar.Var. It
// is safe for concurrent use; a nil Traffic counts nothing.
type Traffic struct {
	mu       sync.Mutex
	byMethod map[string]*MethodTraffic
}

// MethodTraffic is the traffic of one method: the number of its calls, and the bytes of their
// parameters and replies without the framing of the connection.
type MethodTraffic struct {
	Calls, SentBytes, ReceivedBytes int64
}

var _ expvar.Var = (*Traffic)(nil)

// NewTraffic returns a Traffic that has counted nothing.
func NewTraffic() *Traffic { return &Traffic{byMethod: map[string]*MethodTraffic{}} }

func (t *Traffic) add(method string, sent, received int) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.byMethod[method]
	if m == nil {
		m = &MethodTraffic{}
		t.byMethod[method] = m
	}
	m.Calls++
	m.SentBytes += int64(sent)
	m.ReceivedBytes += int64(received)
}

// ByMethod returns a copy of the counts.
func (t *Traffic) ByMethod() map[string]MethodTraffic {
	out := map[string]MethodTraffic{}
	if t == nil {
		return out
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for method, m := range t.byMethod {
		out[method] = *m
	}
	return out
}

// String implements expvar.Var.
func (t *Traffic) String() string { return expvar.Func(func() any { return t.ByMethod() }).String() }
