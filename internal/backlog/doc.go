// Package backlog estimates how long a request would wait at a backend server that
// other entry hosts send to as well, and decides whether to send it now, to hold
// it back or to refuse it. It uses neither a clock nor a transport: the caller
// passes the time.
package backlog
