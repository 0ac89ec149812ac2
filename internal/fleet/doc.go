// Package fleet holds the replicated records of entry hosts, backend servers and
// drains, and the rules for registering and losing them and for choosing
// dispatchers. It depends on no transport and no clock.
package fleet
