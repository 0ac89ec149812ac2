// Package egress estimates the queue on the outgoing link of a host.
//
// Bytes that are written to a connection can neither be withdrawn nor overtaken: on a
// congested link they wait in the kernel and in the network. A host that knows the bandwidth
// of its link can estimate how many bytes wait there.
package egress
