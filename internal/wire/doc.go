// Package wire defines the typed messages between processes: announcements and
// orders exchanged with backend servers over HTTP, and the jsonrpc2 messages
// between daemons.
package wire
