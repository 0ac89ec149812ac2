// Package clock provides the time to code whose decisions depend on it, so that
// tests can control those decisions with a fake clock.
package clock
