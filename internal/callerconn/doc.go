// Package callerconn tells an http.Handler whether the caller of a request has closed its
// connection. net/http hears the end of a connection only behind all that was sent, such
// as a body that nobody reads or another request, and some time after the handler began.
package callerconn
