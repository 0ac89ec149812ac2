// Package stop ends the requests that are in flight when a host stops, so that each of them is
// answered with what is known of its outcome before the process exits.
package stop
