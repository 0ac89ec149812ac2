// Package gateway serves callers in deployments where configuration items name
// the routes and every entry host sends to the backend servers itself.
//
// A request is matched to a route, the route chooses a service, and the table
// tells the owner of the request's key. Limits that hold for all entry hosts
// together are kept by a share per host (retries) or by one host that gives out
// permits (cold backend servers); the queue of a warm server is kept by one host as well.
package gateway
