// Package session is the entry host's side of its lease with the control group:
// it renews the session, watches the routing table and tells until when that
// table may be used.
package session
