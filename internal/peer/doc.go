// Package peer carries the typed messages of package wire between daemons as
// jsonrpc2 over TCP, with mutual TLS when the settings ask for it.
package peer
