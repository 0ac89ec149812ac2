// Command platform plays the platform for the scripts of the review: it starts the daemons of
// the deploy file as separate processes on loopback addresses, and stands in for backend
// servers, callers and the operator.
package main
