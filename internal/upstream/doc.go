// Package upstream sends one HTTP/1.1 request once to one backend server and
// returns its response, or a failure that says whether the request may have run.
//
// It manages its own connections instead of using http.Transport, because it must know
// what was written, must never repeat a request, and must skip responses that belong to
// another request.
package upstream
