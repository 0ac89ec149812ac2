// Package upstream sends one HTTP/1.1 request once to one backend server and
// returns its answer, or a failure that says whether the request may have run.
//
// It keeps its own connections instead of http.Transport, because it must know
// what was written, must never repeat a request, and must pass over answers that
// belong to another request.
package upstream
