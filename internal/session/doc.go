// Package session is an entry host's side of its lease with the control group:
// it renews the session, follows the routing table and says until when that
// table may be used.
package session
