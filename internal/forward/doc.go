// Package forward sends one HTTP request to the next hop and copies its response
// back. It never sends a request twice, and it reports whether a failed request
// may have reached the next hop.
package forward
