package admin

import (
	"fmt"
	"net/http"
	"net/url"
	"strings"

	"github.com/juju/errors"

	"github.com/agatestep/agatestep/internal/service"
	"github.com/agatestep/agatestep/internal/table"
)

// ExplainRoute describes where a routing table sends a request, without sending
// it. It returns a NotValid error when the path is malformed.
func ExplainRoute(t *table.Table, request ExplainRequest) (*ExplainReply, error) {
	r, err := request.toHTTPRequest()
	if err != nil {
		return nil, errors.Trace(err)
	}
	reply := &ExplainReply{Revision: t.Revision()}
	svc, prefix, ok := t.Match(r.Host, r.URL.Path)
	if !ok {
		reply.Refusal = fmt.Sprintf("no service matches host %q and path %q", r.Host, r.URL.Path)
		return reply, nil
	}
	reply.Service = svc.File.Service
	reply.Idempotent = svc.File.IsIdempotent(r.Method, r.URL.Path)
	if !svc.File.Keyed() {
		addCandidates(t, svc.File.Service, reply)
		return reply, nil
	}
	key, err := svc.File.KeyOf(r, prefix)
	if err != nil {
		reply.Refusal = err.Error()
		return reply, nil
	}
	reply.Key = key
	addSlice(t, svc.File.Service, key, reply)
	return reply, nil
}

// toHTTPRequest returns the request as an entry host would receive it.
func (e ExplainRequest) toHTTPRequest() (*http.Request, error) {
	if !strings.HasPrefix(e.Path, "/") {
		return nil, errors.NotValidf("path %q, which must start with /,", e.Path)
	}
	u, err := url.ParseRequestURI(e.Path)
	if err != nil {
		return nil, errors.NewNotValid(err, "path")
	}
	method := e.Method
	if method == "" {
		method = http.MethodGet
	}
	r := &http.Request{Method: method, URL: u, Host: e.Host, Header: http.Header{}}
	for name, value := range e.Headers {
		r.Header.Set(name, value)
	}
	return r, nil
}

// addCandidates fills in the available backend servers of a service that is not
// sharded by key.
func addCandidates(t *table.Table, name string, reply *ExplainReply) {
	for _, b := range t.AvailableBackends(name) {
		reply.Candidates = append(reply.Candidates, b.Name)
	}
	if len(reply.Candidates) == 0 {
		reply.Refusal = fmt.Sprintf("service %q has no available backend server", name)
	}
}

// addSlice fills in the slice of the key and the backend server that owns it.
func addSlice(t *table.Table, name, key string, reply *ExplainReply) {
	slice, ok := t.Lookup(name, service.HashKey(key))
	if !ok || slice.Owner == "" {
		reply.Refusal = fmt.Sprintf("no backend server owns key %q", key)
		return
	}
	reply.Slice = fmt.Sprintf("%016x", slice.Start)
	reply.Owner = slice.Owner
	reply.State = "owned"
	if slice.State == table.SliceReleasing {
		reply.State = "moving to " + slice.Next
	}
	if b := t.Backend(name, slice.Owner); b != nil {
		reply.Dispatcher = b.Dispatcher
	}
}
