// Package gateway serves callers in deployments where configuration items define
// the routes and every entry host sends requests to the backend servers itself.
//
// A request is matched to a route, the route selects a service, and the routing table
// names the owner of the request's key. Limits that hold for all entry hosts together
// are enforced by a share per host (retries) or by one host that grants permits (cold
// backend servers); the queue of a warm server is managed by one host as well.
package gateway
