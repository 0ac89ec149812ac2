package forward

import (
	"encoding/json"
	"errors"
	"net/http"
	"sync"

	"github.com/agatestep/agatestep/internal/verdict"
	"github.com/agatestep/agatestep/internal/wire"
)

// copyBufferBytes is the size of the buffer that streams one body.
const copyBufferBytes = 32 << 10

var buffers = sync.Pool{New: func() any { b := make([]byte, copyBufferBytes); return &b }}

// refusal is the JSON body of every refusal.
type refusal struct {
	Verdict   string `json:"verdict"`
	Reason    string `json:"reason"`
	Detail    string `json:"detail"`
	RequestID string `json:"request_id,omitempty"`
}

// AsError returns the verdict error in err. An error without a verdict counts
// as may-have-run.
func AsError(err error) *verdict.Error {
	var e *verdict.Error
	if errors.As(err, &e) {
		return e
	}
	return &verdict.Error{Verdict: verdict.MayHaveRun, Status: http.StatusBadGateway,
		Reason: verdict.ReasonConnectionLost, Detail: "the exchange failed", Cause: err}
}

// WriteRefusal answers a request that was refused or failed.
func WriteRefusal(w http.ResponseWriter, e *verdict.Error, requestID string) {
	h := w.Header()
	h.Set(verdict.Header, e.Verdict.String())
	h.Set(verdict.ReasonHeader, string(e.Reason))
	h.Set("Content-Type", "application/json")
	h.Set("Cache-Control", "no-store")
	if requestID != "" {
		h.Set(wire.HeaderRequestID, requestID)
	}
	w.WriteHeader(e.Status)
	// A failed write means that the caller is gone.
	_ = json.NewEncoder(w).Encode(refusal{e.Verdict.String(), string(e.Reason), e.Detail, requestID})
}
