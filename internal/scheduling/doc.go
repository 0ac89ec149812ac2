// Package scheduling decides which requests a backend server runs next when there are more than it
// can run in time, and which are refused.
//
// What callers lose decides: the priority of a request, whether it can still meet its latency
// target, and the work that it needs on the server in question. The package is pure: it gets the
// time as an argument and keeps no clock.
package scheduling
