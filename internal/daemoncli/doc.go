// Package daemoncli implements the command line of the daemon, agatestepd.
package daemoncli
