// Package wire defines the messages between processes: the announcements and
// ownership orders exchanged with backend servers over HTTP, and the jsonrpc2
// messages between daemons.
package wire
