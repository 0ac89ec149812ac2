// Package command defines the commands of the replicated log, the results of
// applying them, and their encodings.
package command
