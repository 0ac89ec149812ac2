// Package capacity holds the benchmarks across packages that docs/CAPACITY.md
// rests on. It has no code of its own.
package capacity
