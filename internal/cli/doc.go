// Package cli is the command-line tool of operators and teams.
package cli
