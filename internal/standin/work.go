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

// handleRequest serves a forwarded request: it checks the fence, takes a slot, checks
// the fence again, works, commits and answers.
func (s *Server) handleRequest(w http.ResponseWriter, r *http.Request) {
	grant := s.parseGrant(r)
	w.Header().Set(wire.HeaderRequestID, grant.requestID)
	if s.refusedByFence(w, grant) {
		return
	}
	limit, cold := s.concurrencyLimit()
	acquired, err := s.slotPool.acquire(r.Context(), limit, s.config.Queue)
	if err != nil || !acquired {
		s.shedRequest(w, cold)
		return
	}
	release := func() {
		limit, _ := s.concurrencyLimit()
		s.slotPool.release(limit)
	}
	index, execution, refused := s.beginExecution(w, grant, r)
	if refused {
		release()
		return
	}
	bodyBytes, abandoned := s.execute(r, grant)
	// A frozen server resumes before it commits. The slot is free before the
	// answer is read, so that the next request on the connection is not shed.
	s.gate.waitOpen(s.stopped.Done())
	reason, detail := s.commit(index, execution, grant, abandoned)
	release()
	if reason != "" {
		status := http.StatusServiceUnavailable
		if reason == ReasonDeadline {
			status = http.StatusGatewayTimeout
		}
		s.writeFailure(w, status, verdict.MayHaveRun, reason, detail)
		return
	}
	s.writeAnswer(w, grant, bodyBytes)
}

func (s *Server) parseGrant(r *http.Request) *requestGrant {
	grant := parseGrantHeaders(r.Header)
	if s.keyFile == nil {
		return grant
	}
	key, err := s.keyFile.KeyOf(r, s.config.PathPrefix)
	if err == nil {
		grant.key, grant.hash, grant.hasKey = key, service.HashKey(key), true
	} else if grant.sliceText != "" && grant.malformed == "" {
		grant.malformed = err.Error()
	}
	return grant
}

// refusedByFence refuses a request and reports true if a server that checks orders
// must not run it.
func (s *Server) refusedByFence(w http.ResponseWriter, grant *requestGrant) bool {
	if !s.config.ChecksOrders {
		return false
	}
	s.mu.Lock()
	reason, detail := s.fence.checkRequest(grant, &s.config, s.now())
	if reason != "" {
		s.stats.Refused++
	}
	s.mu.Unlock()
	if reason == "" {
		return false
	}
	s.writeNotRun(w, http.StatusConflict, reason, detail)
	return true
}

func (s *Server) shedRequest(w http.ResponseWriter, cold bool) {
	reason := ReasonShed
	s.mu.Lock()
	s.stats.Shed++
	if cold {
		s.stats.ShedCold++
		reason = ReasonCold
	}
	s.mu.Unlock()
	s.writeNotRun(w, http.StatusServiceUnavailable, reason, "no slot is free")
}

// beginExecution records the start of an execution. It checks the fence again
// first, because the request may have waited for its slot.
func (s *Server) beginExecution(w http.ResponseWriter, grant *requestGrant, r *http.Request) (int, Execution, bool) {
	s.gate.waitOpen(s.stopped.Done())
	if s.refusedByFence(w, grant) {
		return 0, Execution{}, true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	e := Execution{
		Backend: s.config.Backend, Service: s.config.Service, Incarnation: s.fence.incarnation, RequestID: grant.requestID,
		Method: r.Method, Path: r.URL.Path, Key: grant.key, Slice: grant.sliceText,
		Epoch: grant.epoch, Lease: grant.lease, Start: s.config.Clock.Now(),
	}
	s.fence.beginRequest(grant)
	s.lastRequestStart = s.now()
	s.executing++
	s.stats.Started++
	s.stats.PeakRunning = max(s.stats.PeakRunning, s.executing)
	index := s.records.start(e)
	if index < 0 {
		s.stats.Unrecorded++
	}
	return index, e, false
}

// execute reads the body and works. It returns the number of bytes read, and why the
// work was abandoned, if so.
func (s *Server) execute(r *http.Request, grant *requestGrant) (int64, verdict.Reason) {
	ctx := r.Context()
	if grant.deadline > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, grant.deadline-s.now())
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

// wait returns after d, or earlier when ctx is done or the server stops.
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

// commit ends an execution. A server that checks orders checks its lease and its
// order again and records the commit under one lock.
func (s *Server) commit(index int, e Execution, grant *requestGrant, abandoned verdict.Reason) (verdict.Reason, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.executing--
	reason, detail := abandoned, "the work was abandoned before its commit"
	lost, lostDetail := s.fence.endRequest(grant, s.now())
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

// writeAnswer writes the answer, altered by the injected faults.
func (s *Server) writeAnswer(w http.ResponseWriter, grant *requestGrant, bodyBytes int64) {
	faults := s.currentFaults()
	if faults.LoseAnswers {
		panic(http.ErrAbortHandler)
	}
	answer := Answer{
		Backend: s.config.Backend, Service: s.config.Service, RequestID: grant.requestID, Key: grant.key, BodyBytes: bodyBytes,
	}
	if faults.ForeignIDs {
		answer.RequestID = "foreign-" + grant.requestID
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
