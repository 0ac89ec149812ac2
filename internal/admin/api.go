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

// maxBodyBytes bounds a request to the API; 1,000 service files take some 1 MB.
const maxBodyBytes = 16 << 20

// maxWaitMs bounds the wait for a revision to be in force.
const maxWaitMs = 60_000

type api struct {
	daemon Daemon
	token  string
}

// NewHandler returns the administration API. An empty token lets every caller
// in; the settings must state that explicitly.
func NewHandler(daemon Daemon, token string) http.Handler {
	a := &api{daemon: daemon, token: token}
	r := mux.NewRouter()
	r.NotFoundHandler = refuser(http.StatusNotFound, "the administration API has no such path")
	r.MethodNotAllowedHandler = refuser(http.StatusMethodNotAllowed, "the path does not take this method")
	r.Use(a.authorize)
	r.HandleFunc("/v1/status", a.status).Methods(http.MethodGet)
	r.HandleFunc("/v1/timeline", a.timeline).Methods(http.MethodGet)
	r.HandleFunc("/v1/publish", a.publish).Methods(http.MethodPost)
	r.HandleFunc("/v1/check", a.check).Methods(http.MethodPost)
	r.HandleFunc("/v1/drains", a.drain).Methods(http.MethodPost)
	r.HandleFunc("/v1/explain", a.explain).Methods(http.MethodPost)
	r.HandleFunc("/v1/replica", a.replica).Methods(http.MethodGet)
	r.HandleFunc("/v1/bootstrap", a.bootstrap).Methods(http.MethodPost)
	r.HandleFunc("/v1/replicas/replace", a.replace).Methods(http.MethodPost)
	r.Handle("/debug/vars", expvar.Handler()).Methods(http.MethodGet)
	return r
}

func (a *api) authorize(next http.Handler) http.Handler {
	want := sha256.Sum256([]byte("Bearer " + a.token))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got := sha256.Sum256([]byte(r.Header.Get("Authorization")))
		if a.token != "" && subtle.ConstantTimeCompare(got[:], want[:]) != 1 {
			refuse(w, http.StatusUnauthorized, "the administration API needs a valid bearer token")
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
		next.ServeHTTP(w, r)
	})
}

func refuser(status int, reason string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { refuse(w, status, reason) })
}

func (a *api) status(w http.ResponseWriter, _ *http.Request) {
	respond(w, http.StatusOK, a.daemon.Status())
}

func (a *api) timeline(w http.ResponseWriter, r *http.Request) {
	var since uint64
	if text := r.URL.Query().Get("since"); text != "" {
		var err error
		if since, err = strconv.ParseUint(text, 10, 64); err != nil {
			refuse(w, http.StatusBadRequest, "parameter since must be a stamp, a whole number")
			return
		}
	}
	reply := TimelineReply{}
	if r.URL.Query().Get("scope") == "local" {
		reply.Events = a.daemon.Timeline(timeline.Stamp(since))
	} else {
		reply.Events, reply.Unreachable = a.daemon.TimelineAll(r.Context(), timeline.Stamp(since))
	}
	respond(w, http.StatusOK, reply)
}

func (a *api) publish(w http.ResponseWriter, r *http.Request) {
	var request PublishRequest
	if !decode(w, r, &request) || !validRequest(w, request.RequestID, request.WaitMs) {
		return
	}
	if len(request.Files) == 0 {
		refuse(w, http.StatusBadRequest, "files must name at least one service file")
		return
	}
	a.operate(w, r, request.WaitMs, &command.Command{
		Publish: &command.Publish{RequestID: request.RequestID, Files: request.Files},
	})
}

func (a *api) drain(w http.ResponseWriter, r *http.Request) {
	var request DrainRequest
	if !decode(w, r, &request) || !validRequest(w, request.RequestID, request.WaitMs) {
		return
	}
	if request.Kind != command.DrainDataCentre && request.Kind != command.DrainBackend {
		refuse(w, http.StatusBadRequest, "kind must be data-centre or backend")
		return
	}
	a.operate(w, r, request.WaitMs, &command.Command{Drain: &command.Drain{
		RequestID: request.RequestID, Kind: request.Kind, Name: request.Name,
		Out: request.Out, Version: request.Version,
	}})
}

func validRequest(w http.ResponseWriter, id string, waitMs int64) bool {
	if id == "" || len(id) > 128 {
		refuse(w, http.StatusBadRequest, "request_id must have 1 to 128 characters")
		return false
	}
	if waitMs < 0 || waitMs > maxWaitMs {
		refuse(w, http.StatusBadRequest, "wait_ms must be between 0 and 60000")
		return false
	}
	return true
}

var resultStatus = map[command.ResultCode]int{
	command.ResultOK:       http.StatusOK,
	command.ResultConflict: http.StatusConflict,
	command.ResultInvalid:  http.StatusUnprocessableEntity,
	command.ResultStale:    http.StatusConflict,
}

func (a *api) operate(w http.ResponseWriter, r *http.Request, waitMs int64, cmd *command.Command) {
	reply, err := a.daemon.Operate(r.Context(), cmd, waitMs)
	if err != nil {
		failOperation(w, reply, err)
		return
	}
	if reply.Result.Code != command.ResultOK {
		respond(w, resultStatus[reply.Result.Code], ErrorReply{
			Error: reply.Result.Detail, Outcome: verdict.NotRun.String(), Problems: reply.Result.Problems,
		})
		return
	}
	respond(w, http.StatusOK, OperateReply{Result: reply.Result, InForce: reply.InForce, Pending: reply.Pending})
}

func failOperation(w http.ResponseWriter, reply wire.ProposalReply, err error) {
	outcome := verdict.MayHaveRun
	if reply.Status == wire.ProposalNotLeader || reply.Status == wire.ProposalDropped {
		outcome = verdict.NotRun
	}
	respond(w, http.StatusServiceUnavailable, ErrorReply{Error: err.Error(), Outcome: outcome.String()})
}

func (a *api) check(w http.ResponseWriter, r *http.Request) {
	var request CheckRequest
	if !decode(w, r, &request) {
		return
	}
	reply := CheckReply{Problems: []string{}}
	for _, problem := range Check(a.daemon.Table(), request.Files) {
		reply.Problems = append(reply.Problems, problem.String())
	}
	respond(w, http.StatusOK, reply)
}

// Check judges service files together with the published ones that they do not replace.
func Check(t *table.Table, files []command.File) []service.Problem {
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

func (a *api) explain(w http.ResponseWriter, r *http.Request) {
	var request ExplainRequest
	if !decode(w, r, &request) {
		return
	}
	reply, err := Explain(a.daemon.Table(), request)
	if err != nil {
		refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	if reply.Refusal == "" && !a.daemon.SessionValid() {
		reply.Refusal = "this host has no valid session and refuses every request"
	}
	respond(w, http.StatusOK, reply)
}

func (a *api) replica(w http.ResponseWriter, _ *http.Request) {
	identity, err := a.daemon.ReplicaIdentity()
	if err != nil {
		refuse(w, http.StatusNotFound, err.Error())
		return
	}
	respond(w, http.StatusOK, identity)
}

func (a *api) bootstrap(w http.ResponseWriter, r *http.Request) {
	var request BootstrapRequest
	if decode(w, r, &request) {
		finish(w, a.daemon.Bootstrap(request))
	}
}

func (a *api) replace(w http.ResponseWriter, r *http.Request) {
	var request ReplaceRequest
	if decode(w, r, &request) {
		finish(w, a.daemon.ReplaceReplica(r.Context(), request))
	}
}

// finish answers a repair of the control group. Each of them may be repeated.
func finish(w http.ResponseWriter, err error) {
	switch {
	case err == nil:
		respond(w, http.StatusOK, struct{}{})
	case errors.Is(err, errors.NotValid):
		refuse(w, http.StatusUnprocessableEntity, err.Error())
	default:
		respond(w, http.StatusServiceUnavailable, ErrorReply{Error: err.Error(), Outcome: verdict.MayHaveRun.String()})
	}
}

func decode(w http.ResponseWriter, r *http.Request, into any) bool {
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	err := decoder.Decode(into)
	if err == nil {
		if _, end := decoder.Token(); end == io.EOF {
			return true
		}
		err = errors.New("other data follows the JSON object")
	}
	status := http.StatusBadRequest
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		status = http.StatusRequestEntityTooLarge
	}
	refuse(w, status, "request body: "+err.Error())
	return false
}

func refuse(w http.ResponseWriter, status int, reason string) {
	respond(w, status, ErrorReply{Error: reason, Outcome: verdict.NotRun.String()})
}

func respond(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
