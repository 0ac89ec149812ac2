// Package cli implements agatestep, the command-line tool of operators and teams.
package cli
