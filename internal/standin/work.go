package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/agatestep/agatestep/internal/service"
	"github.com/agatestep/agatestep/internal/verdict"
	"github.com/agatestep/agatestep/internal/wire"
)

// Answer is the body of the answer to a request that ran.
type Answer struct {
	Backend   string `json:"backend"`
	Service   string `json:"service"`
	RequestID string `json:"request_id"`
	Key       string `json:"key"`
	// BodyBytes is the number of bytes of the request body that were read.
	BodyBytes int64 `json:"body_bytes"`
}

// work serves a forwarded request: fence, slot, fence again, work, commit, answer.
func (s *Server) work(w http.ResponseWriter, r *http.Request) {
	t := s.ticketOf(r)
	w.Header().Set(wire.HeaderRequestID, t.requestID)
	if s.refusedByFence(w, t) {
		return
	}
	limit, cold := s.limit()
	took, err := s.capacity.acquire(r.Context(), limit, s.config.Queue)
	if err != nil || !took {
		s.shed(w, cold)
		return
	}
	release := func() {
		limit, _ := s.limit()
		s.capacity.release(limit)
	}
	index, execution, refused := s.begin(w, t, r)
	if refused {
		release()
		return
	}
	bodyBytes, abandoned := s.run(r, t)
	// A thaw comes before the commit, and the slot is free before the answer
	// is read, so that the next request on the connection is not shed.
	s.gate.pass(s.stopped.Done())
	reason, detail := s.commit(index, execution, t, abandoned)
	release()
	if reason != "" {
		status := http.StatusServiceUnavailable
		if reason == ReasonDeadline {
			status = http.StatusGatewayTimeout
		}
		s.fail(w, status, verdict.MayHaveRun, reason, detail)
		return
	}
	s.answer(w, t, bodyBytes)
}

func (s *Server) ticketOf(r *http.Request) *ticket {
	t := readTicket(r.Header)
	if s.keys == nil {
		return t
	}
	key, err := s.keys.KeyOf(r, s.config.PathPrefix)
	if err == nil {
		t.key, t.hash, t.hasKey = key, service.HashKey(key), true
	} else if t.sliceText != "" && t.malformed == "" {
		t.malformed = err.Error()
	}
	return t
}

// refusedByFence answers and reports true when a checking server must not run
// the request.
func (s *Server) refusedByFence(w http.ResponseWriter, t *ticket) bool {
	if !s.config.ChecksOrders {
		return false
	}
	s.mu.Lock()
	reason, detail := s.fence.admits(t, &s.config, s.now())
	if reason != "" {
		s.stats.Refused++
	}
	s.mu.Unlock()
	if reason == "" {
		return false
	}
	s.refuse(w, http.StatusConflict, reason, detail)
	return true
}

func (s *Server) shed(w http.ResponseWriter, cold bool) {
	reason := ReasonShed
	s.mu.Lock()
	s.stats.Shed++
	if cold {
		s.stats.ShedCold++
		reason = ReasonCold
	}
	s.mu.Unlock()
	s.refuse(w, http.StatusServiceUnavailable, reason, "no slot is free")
}

// begin records the start of an execution. The fence is checked in the same
// step, because the request may have waited for its slot.
func (s *Server) begin(w http.ResponseWriter, t *ticket, r *http.Request) (int, Execution, bool) {
	s.gate.pass(s.stopped.Done())
	if s.refusedByFence(w, t) {
		return 0, Execution{}, true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	e := Execution{
		Backend: s.config.Backend, Service: s.config.Service, Incarnation: s.fence.incarnation, RequestID: t.requestID,
		Method: r.Method, Path: r.URL.Path, Key: t.key, Slice: t.sliceText,
		Epoch: t.epoch, Lease: t.lease, Start: s.config.Clock.Now(),
	}
	s.fence.begin(t)
	s.lastStart = s.now()
	s.inWork++
	s.stats.Started++
	s.stats.PeakInWork = max(s.stats.PeakInWork, s.inWork)
	index := s.records.start(e)
	if index < 0 {
		s.stats.Unrecorded++
	}
	return index, e, false
}

// run reads the body and works. It returns why the work was abandoned, if so.
func (s *Server) run(r *http.Request, t *ticket) (int64, verdict.Reason) {
	ctx := r.Context()
	if t.deadline > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, t.deadline-s.now())
		defer cancel()
	}
	n, err := io.Copy(io.Discard, r.Body)
	if err == nil && s.config.Work != nil {
		err = s.config.Work(ctx, r)
	} else if err == nil {
		s.wait(ctx, s.workTime(isFirstOfConnection(r)))
	}
	switch {
	case r.Context().Err() != nil || s.stopped.Err() != nil:
		return n, ReasonCancelled
	case ctx.Err() != nil:
		return n, ReasonDeadline
	case err != nil:
		return n, ReasonWorkFailed
	}
	return n, ""
}

// wait returns after d or when ctx is over.
func (s *Server) wait(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	case <-s.stopped.Done():
	}
}

// commit ends an execution. A checking server checks its lease and its order
// again and records the commit in one step.
func (s *Server) commit(index int, e Execution, t *ticket, abandoned verdict.Reason) (verdict.Reason, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inWork--
	reason, detail := abandoned, "the work was abandoned before its commit"
	lost, lostDetail := s.fence.end(t, s.now())
	if reason == "" && s.config.ChecksOrders {
		reason, detail = lost, lostDetail
	}
	if reason == "" && s.stopped.Err() != nil {
		reason, detail = ReasonCancelled, "the server is stopping"
	}
	if e.Committed = reason == ""; e.Committed {
		e.Commit = s.config.Clock.Now()
	}
	e.Abandoned = string(reason)
	if err := s.records.finish(index, e); err != nil && reason == "" {
		reason, detail = ReasonWorkFailed, err.Error()
	}
	if reason != "" {
		s.stats.Abandoned++
		return reason, detail
	}
	s.stats.Committed++
	return "", ""
}

// answer writes the answer, with the failures that are switched on.
func (s *Server) answer(w http.ResponseWriter, t *ticket, bodyBytes int64) {
	faults := s.currentFaults()
	if faults.LoseAnswers {
		panic(http.ErrAbortHandler)
	}
	answer := Answer{
		Backend: s.config.Backend, Service: s.config.Service, RequestID: t.requestID, Key: t.key, BodyBytes: bodyBytes,
	}
	if faults.ForeignIDs {
		answer.RequestID = "foreign-" + t.requestID
		w.Header().Set(wire.HeaderRequestID, answer.RequestID)
	}
	load, _ := json.Marshal(s.reportedLoad())
	w.Header().Set(wire.HeaderLoad, string(load))
	w.Header().Set(verdict.Header, verdict.Answered.String())
	w.Header().Set("Content-Type", "application/json")
	var body bytes.Buffer
	_ = json.NewEncoder(&body).Encode(answer) // a bytes.Buffer does not fail
	w.Header().Set("Content-Length", strconv.Itoa(body.Len()))
	w.WriteHeader(http.StatusOK)
	if faults.TruncateAnswers {
		_, _ = w.Write(body.Bytes()[:body.Len()/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(body.Bytes())
}
