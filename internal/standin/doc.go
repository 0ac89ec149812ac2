// Package standin is a backend server for tests and the quickstart. It follows
// the HTTP contract of docs/protocol.md: it announces itself, counts its lease
// on its own monotonic clock, accepts fenced orders, and records every
// execution, so that ownership and double execution can be judged from the
// records of the stand-ins themselves. Failures can be switched on.
package standin
