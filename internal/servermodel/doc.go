// Package servermodel estimates how long a request would take at each backend server of a
// service, from what all entry hosts report, and chooses the server that is expected to
// answer first. It has no clock and no network of its own.
package servermodel
