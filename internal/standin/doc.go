// Package standin is a backend server for tests and the quickstart. It follows
// the HTTP contract of docs/protocol.md: it announces itself, measures its lease
// on its own monotonic clock, accepts fenced orders, and records every
// execution, so that violations of exclusive ownership and double executions can
// be found in the records of the stand-ins themselves. Faults can be injected.
package standin
