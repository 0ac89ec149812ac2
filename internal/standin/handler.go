package standin

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/agatestep/agatestep/internal/verdict"
	"github.com/agatestep/agatestep/internal/wire"
)

const maxOrderBytes = 64 << 20

// routes does not use http.ServeMux, which would redirect requests whose path
// has empty or dot segments instead of serving them.
func (s *Server) routes() http.Handler {
	order := byMethod(map[string]http.HandlerFunc{"POST": s.handleOrder, "GET": s.handleGetOrder})
	paths := map[string]http.HandlerFunc{
		wire.OrderPath:  s.blockWhileFrozen(order),
		wire.HealthPath: s.blockWhileFrozen(byMethod(map[string]http.HandlerFunc{"GET": s.handleHealth})),
	}
	if s.config.Control {
		paths[ControlPath] = byMethod(map[string]http.HandlerFunc{"POST": s.handleControl})
	}
	work := s.blockWhileFrozen(s.handleRequest)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if handler := paths[r.URL.Path]; handler != nil {
			handler(w, r)
			return
		}
		work(w, r)
	})
}

func byMethod(handlers map[string]http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		handler := handlers[r.Method]
		if handler == nil {
			http.Error(w, r.Method+" is not allowed here", http.StatusMethodNotAllowed)
			return
		}
		handler(w, r)
	}
}

// blockWhileFrozen delays a handler while the server is frozen.
func (s *Server) blockWhileFrozen(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.gate.waitOpen(s.stopped.Done())
		next(w, r)
	}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the connection is lost; the peer cannot be told.
	_ = json.NewEncoder(w).Encode(body)
}

func (s *Server) handleOrder(w http.ResponseWriter, r *http.Request) {
	var order wire.OwnershipOrder
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxOrderBytes))
	err := decoder.Decode(&order)
	s.mu.Lock()
	var reason verdict.Reason
	if err == nil {
		reason, err = s.fence.acceptOrder(order, &s.config)
	}
	reply := s.orderReply()
	reply.Accepted, reply.Reason = err == nil && reason == "", string(reason)
	if reply.Accepted {
		s.stats.Orders++
	} else {
		s.stats.OrdersRefused++
	}
	s.mu.Unlock()
	switch {
	case err != nil:
		reply.Reason = err.Error()
		writeJSON(w, http.StatusBadRequest, reply)
	case reason != "":
		w.Header().Set(verdict.ReasonHeader, string(reason))
		writeJSON(w, http.StatusConflict, reply)
	default:
		writeJSON(w, http.StatusOK, reply)
	}
}

// orderReply describes the last accepted order. The caller holds mu.
func (s *Server) orderReply() wire.OwnershipOrderReply {
	slices := s.fence.order.Slices
	if slices == nil {
		slices = []wire.Range{}
	}
	return wire.OwnershipOrderReply{
		Accepted: s.fence.ordered, Incarnation: s.fence.incarnation,
		Epoch: s.fence.order.Epoch, Slices: slices,
	}
}

func (s *Server) handleGetOrder(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	reply := s.orderReply()
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, reply)
}

// Health is the answer on wire.HealthPath. Its load may be outdated by Config.ReportLag.
type Health struct {
	Backend string          `json:"backend"`
	Service string          `json:"service"`
	Status  string          `json:"status"` // ok, cold or leaving
	Load    wire.LoadReport `json:"load"`
}

// handleHealth answers a probe, which occupies a slot for ProbeCost.
func (s *Server) handleHealth(w http.ResponseWriter, r *http.Request) {
	limit, cold := s.concurrencyLimit()
	acquired, err := s.slotPool.acquire(r.Context(), limit, s.config.Queue)
	if err != nil || !acquired {
		s.writeNotRun(w, http.StatusServiceUnavailable, ReasonShed, "no slot is free for the probe")
		return
	}
	s.wait(r.Context(), s.config.ProbeCost)
	s.slotPool.release(limit)
	health := Health{Backend: s.config.Backend, Service: s.config.Service, Status: "ok", Load: s.reportedLoad()}
	s.mu.Lock()
	s.stats.Probes++
	lieLoad := s.faults.LieLoad
	switch {
	case s.leaving:
		health.Status = "leaving"
	case cold && !lieLoad:
		health.Status = "cold"
	}
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, health)
}

func (s *Server) handleControl(w http.ResponseWriter, r *http.Request) {
	var request ControlRequest
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&request); err != nil {
		http.Error(w, "control request: "+err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(request.Faults)
	if request.TurnColdMs > 0 {
		s.TurnCold(time.Duration(request.TurnColdMs) * time.Millisecond)
	}
	w.WriteHeader(http.StatusNoContent)
}

// refusal is the body of a refused or failed request.
type refusal struct {
	Reason verdict.Reason `json:"reason"`
	Detail string         `json:"detail"`
}

// writeNotRun answers a request that did not run.
func (s *Server) writeNotRun(w http.ResponseWriter, status int, reason verdict.Reason, detail string) {
	s.writeFailure(w, status, verdict.NotRun, reason, detail)
}

func (s *Server) writeFailure(w http.ResponseWriter, status int, v verdict.Verdict, reason verdict.Reason, detail string) {
	w.Header().Set(verdict.Header, v.String())
	w.Header().Set(verdict.ReasonHeader, string(reason))
	writeJSON(w, status, refusal{Reason: reason, Detail: detail})
}
