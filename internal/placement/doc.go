// Package placement decides which backend server owns each slice of a keyed
// service, which one is its standby, and which slices move to balance the load.
// Its functions are pure and deterministic.
package placement
