// Package clock gives the time to code whose decisions depend on it, so that
// tests can drive those decisions with a clock of their own.
package clock
