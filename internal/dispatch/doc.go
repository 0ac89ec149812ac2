// Package dispatch serves the backend servers whose dispatcher this host is.
//
// For each of them it grants the backend lease, sends the orders that give and
// revoke slices, admits and queues requests, owns the connections and forwards.
// A request is sent only while the session of the host, the backend lease and
// the confirmed order all allow it.
package dispatch
