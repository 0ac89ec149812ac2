// Package dispatch serves the backend servers whose dispatcher is this host.
//
// For each of them it grants the backend lease, sends the orders that assign and
// revoke slices, admits and queues requests, owns the connections and forwards
// requests. A request is sent only while the session of the host, the backend
// lease and the confirmed order all allow it.
package dispatch
