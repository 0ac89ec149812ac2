// Package peer sends the typed messages of package wire between daemons as
// JSON-RPC 2.0 over TCP, with mutual TLS if the settings enable it.
package peer
