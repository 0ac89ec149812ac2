// Package command defines the typed commands that the replicated log carries
// and the results that applying them gives.
package command
