// Package fleet is the aggregate of entry hosts, backend servers and drains. It
// holds the rules for registering and losing them and for choosing dispatchers.
// It knows no transport and no clock.
package fleet
