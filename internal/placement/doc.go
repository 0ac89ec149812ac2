// Package placement decides which backend server owns each slice of a keyed
// service, which one stands by, and which slices move to even out the load. Its
// functions are pure and deterministic.
package placement
