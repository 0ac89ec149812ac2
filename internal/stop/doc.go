// Package stop ends the requests that are under way when a host stops, so that each of them is
// answered with what is known of it before the process ends.
package stop
