package admin

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"expvar"
	"io"
	"net/http"
	"strconv"

	"github.com/gorilla/mux"
	"github.com/juju/errors"

	"github.com/agatestep/agatestep/internal/command"
	"github.com/agatestep/agatestep/internal/service"
	"github.com/agatestep/agatestep/internal/table"
	"github.com/agatestep/agatestep/internal/timeline"
	"github.com/agatestep/agatestep/internal/verdict"
	"github.com/agatestep/agatestep/internal/wire"
)

// maxBodyBytes bounds the body of a request; 1,000 service files take about 1 MB.
const maxBodyBytes = 16 << 20

// maxWaitMs bounds the time that a request waits until its revision is in force.
const maxWaitMs = 60_000

// RequestExplainer is a Daemon that explains requests by its own state. It returns nil if it
// serves no callers.
type RequestExplainer interface {
	ExplainRequest(r *http.Request) *ExplainReply
}

type api struct {
	daemon Daemon
	token  string
}

// NewHandler returns the handler of the administration API. An empty token
// disables authorization; the settings must request that explicitly.
func NewHandler(daemon Daemon, token string) http.Handler {
	a := &api{daemon: daemon, token: token}
	r := mux.NewRouter()
	r.NotFoundHandler = refusalHandler(http.StatusNotFound, "the administration API has no such path")
	r.MethodNotAllowedHandler = refusalHandler(http.StatusMethodNotAllowed, "the path does not take this method")
	r.Use(a.authorize)
	r.HandleFunc("/v1/status", a.handleStatus).Methods(http.MethodGet)
	r.HandleFunc("/v1/timeline", a.handleTimeline).Methods(http.MethodGet)
	r.HandleFunc("/v1/publish", a.handlePublish).Methods(http.MethodPost)
	r.HandleFunc("/v1/check", a.handleCheck).Methods(http.MethodPost)
	r.HandleFunc("/v1/drains", a.handleDrain).Methods(http.MethodPost)
	r.HandleFunc("/v1/explain", a.handleExplain).Methods(http.MethodPost)
	r.HandleFunc("/v1/replica", a.handleReplicaIdentity).Methods(http.MethodGet)
	r.HandleFunc("/v1/bootstrap", a.handleBootstrap).Methods(http.MethodPost)
	r.HandleFunc("/v1/replicas/replace", a.handleReplaceReplica).Methods(http.MethodPost)
	r.Handle("/debug/vars", expvar.Handler()).Methods(http.MethodGet)
	return r
}

// authorize requires the bearer token and bounds the request body.
func (a *api) authorize(next http.Handler) http.Handler {
	want := sha256.Sum256([]byte("Bearer " + a.token))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got := sha256.Sum256([]byte(r.Header.Get("Authorization")))
		if a.token != "" && subtle.ConstantTimeCompare(got[:], want[:]) != 1 {
			writeRefusal(w, http.StatusUnauthorized, "the administration API needs a valid bearer token")
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
		next.ServeHTTP(w, r)
	})
}

func refusalHandler(status int, reason string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { writeRefusal(w, status, reason) })
}

func (a *api) handleStatus(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, a.daemon.Status())
}

func (a *api) handleTimeline(w http.ResponseWriter, r *http.Request) {
	var since uint64
	if text := r.URL.Query().Get("since"); text != "" {
		var err error
		if since, err = strconv.ParseUint(text, 10, 64); err != nil {
			writeRefusal(w, http.StatusBadRequest, "parameter since must be a stamp, a whole number")
			return
		}
	}
	reply := TimelineReply{}
	if r.URL.Query().Get("scope") == "local" {
		reply.Events = a.daemon.LocalTimeline(timeline.Stamp(since))
	} else {
		reply.Events, reply.Unreachable = a.daemon.MergedTimeline(r.Context(), timeline.Stamp(since))
	}
	writeJSON(w, http.StatusOK, reply)
}

func (a *api) handlePublish(w http.ResponseWriter, r *http.Request) {
	var request PublishRequest
	if !decodeBody(w, r, &request) || !validateIDAndWait(w, request.RequestID, request.WaitMs) {
		return
	}
	if len(request.Files) == 0 {
		writeRefusal(w, http.StatusBadRequest, "files must name at least one service file")
		return
	}
	a.submitCommand(w, r, request.WaitMs, &command.Command{
		Publish: &command.Publish{RequestID: request.RequestID, Files: request.Files},
	})
}

func (a *api) handleDrain(w http.ResponseWriter, r *http.Request) {
	var request DrainRequest
	if !decodeBody(w, r, &request) || !validateIDAndWait(w, request.RequestID, request.WaitMs) {
		return
	}
	if request.Kind != command.DrainDataCentre && request.Kind != command.DrainBackend {
		writeRefusal(w, http.StatusBadRequest, "kind must be data-centre or backend")
		return
	}
	a.submitCommand(w, r, request.WaitMs, &command.Command{Drain: &command.Drain{
		RequestID: request.RequestID, Kind: request.Kind, Name: request.Name,
		Out: request.Out, Version: request.Version,
	}})
}

// validateIDAndWait reports whether id and waitMs are in range; if not, it writes
// a refusal.
func validateIDAndWait(w http.ResponseWriter, id string, waitMs int64) bool {
	if id == "" || len(id) > 128 {
		writeRefusal(w, http.StatusBadRequest, "request_id must have 1 to 128 characters")
		return false
	}
	if waitMs < 0 || waitMs > maxWaitMs {
		writeRefusal(w, http.StatusBadRequest, "wait_ms must be between 0 and 60000")
		return false
	}
	return true
}

var statusByResult = map[command.ResultCode]int{
	command.ResultOK:       http.StatusOK,
	command.ResultConflict: http.StatusConflict,
	command.ResultInvalid:  http.StatusUnprocessableEntity,
	command.ResultStale:    http.StatusConflict,
}

// submitCommand sends cmd to the leader and writes the result.
func (a *api) submitCommand(w http.ResponseWriter, r *http.Request, waitMs int64, cmd *command.Command) {
	reply, err := a.daemon.ProposeOperatorCommand(r.Context(), cmd, waitMs)
	if err != nil {
		writeCommandError(w, reply, err)
		return
	}
	if reply.Result.Code != command.ResultOK {
		writeJSON(w, statusByResult[reply.Result.Code], ErrorReply{
			Error: reply.Result.Detail, Outcome: verdict.NotRun.String(), Problems: reply.Result.Problems,
		})
		return
	}
	writeJSON(w, http.StatusOK, OperateReply{Result: reply.Result, InForce: reply.InForce, Pending: reply.Pending})
}

// writeCommandError writes the failure of a command that returned no result. The
// outcome is may-have-run unless the command certainly was not applied.
func writeCommandError(w http.ResponseWriter, reply wire.ProposalReply, err error) {
	outcome := verdict.MayHaveRun
	if reply.Status == wire.ProposalNotLeader || reply.Status == wire.ProposalDropped {
		outcome = verdict.NotRun
	}
	writeJSON(w, http.StatusServiceUnavailable, ErrorReply{Error: err.Error(), Outcome: outcome.String()})
}

func (a *api) handleCheck(w http.ResponseWriter, r *http.Request) {
	var request CheckRequest
	if !decodeBody(w, r, &request) {
		return
	}
	reply := CheckReply{Problems: []string{}}
	for _, problem := range CheckFiles(a.daemon.Table(), request.Files) {
		reply.Problems = append(reply.Problems, problem.String())
	}
	writeJSON(w, http.StatusOK, reply)
}

// CheckFiles validates service files together with the published files that they
// do not replace.
func CheckFiles(t *table.Table, files []command.File) []service.Problem {
	sources := make([]service.SourceFile, 0, len(files))
	for _, f := range files {
		sources = append(sources, service.SourceFile{Name: f.Name, Content: f.Content})
	}
	var published []*service.File
	for _, s := range t.Services() {
		published = append(published, s.File)
	}
	return service.CheckAgainst(sources, published)
}

func (a *api) handleExplain(w http.ResponseWriter, r *http.Request) {
	var request ExplainRequest
	if !decodeBody(w, r, &request) {
		return
	}
	reply, err := a.explain(request)
	if err != nil {
		writeRefusal(w, http.StatusBadRequest, err.Error())
		return
	}
	if reply.Refusal == "" && reply.Entry == nil && !a.daemon.SessionValid() {
		reply.Refusal = "this host has no valid session and refuses every request"
	}
	writeJSON(w, http.StatusOK, reply)
}

// explain asks the daemon if it explains requests by its own state, else its table.
func (a *api) explain(request ExplainRequest) (*ExplainReply, error) {
	if e, ok := a.daemon.(RequestExplainer); ok {
		r, err := request.toHTTPRequest()
		if err != nil {
			return nil, err
		}
		if reply := e.ExplainRequest(r); reply != nil {
			return reply, nil
		}
	}
	return ExplainRoute(a.daemon.Table(), request)
}

func (a *api) handleReplicaIdentity(w http.ResponseWriter, _ *http.Request) {
	identity, err := a.daemon.ReplicaIdentity()
	if err != nil {
		writeRefusal(w, http.StatusNotFound, err.Error())
		return
	}
	writeJSON(w, http.StatusOK, identity)
}

func (a *api) handleBootstrap(w http.ResponseWriter, r *http.Request) {
	var request BootstrapRequest
	if decodeBody(w, r, &request) {
		writeMembershipResult(w, a.daemon.Bootstrap(request))
	}
}

func (a *api) handleReplaceReplica(w http.ResponseWriter, r *http.Request) {
	var request ReplaceRequest
	if decodeBody(w, r, &request) {
		writeMembershipResult(w, a.daemon.ReplaceReplica(r.Context(), request))
	}
}

// writeMembershipResult writes the result of a change to the control group's members.
// Each such request is safe to repeat.
func writeMembershipResult(w http.ResponseWriter, err error) {
	switch {
	case err == nil:
		writeJSON(w, http.StatusOK, struct{}{})
	case errors.Is(err, errors.NotValid):
		writeRefusal(w, http.StatusUnprocessableEntity, err.Error())
	default:
		writeJSON(w, http.StatusServiceUnavailable, ErrorReply{Error: err.Error(), Outcome: verdict.MayHaveRun.String()})
	}
}

// decodeBody reports whether the request body is one JSON object with the fields
// of into; if not, it writes a refusal.
func decodeBody(w http.ResponseWriter, r *http.Request, into any) bool {
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	err := decoder.Decode(into)
	if err == nil {
		if _, trailingErr := decoder.Token(); trailingErr == io.EOF {
			return true
		}
		err = errors.New("other data follows the JSON object")
	}
	status := http.StatusBadRequest
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		status = http.StatusRequestEntityTooLarge
	}
	writeRefusal(w, status, "request body: "+err.Error())
	return false
}

// writeRefusal writes an error of a request that changed nothing.
func writeRefusal(w http.ResponseWriter, status int, reason string) {
	writeJSON(w, status, ErrorReply{Error: reason, Outcome: verdict.NotRun.String()})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
