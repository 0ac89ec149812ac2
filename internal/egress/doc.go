// Package egress accounts for the outgoing link of a host.
//
// What is written to a connection is out of the host's hands: on a crowded link it waits in
// the kernel and on the way, and nothing can be taken back or sent ahead of it. A host
// that knows the bandwidth of its link can tell how much waits there.
package egress
