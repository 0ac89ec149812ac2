// Package callerconn tells an http.Handler whether the caller of a request has closed its
// connection. net/http notices the end of a connection only after it has read all data
// before it, such as an unread body or another request, and some time after the handler
// began.
package callerconn
