// Package daemoncli is the command line of the daemon.
package daemoncli
