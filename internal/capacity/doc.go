// Package capacity holds the benchmarks across packages that the figures of
// docs/CAPACITY.md come from. It contains no other code.
package capacity
