// Package forward carries one HTTP request to the next hop and its answer back.
// It never sends a request twice, and it tells whether a failed request may
// have reached the next hop.
package forward
