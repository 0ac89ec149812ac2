// Package entry serves HTTP requests of callers. It finds the service, the key
// and the backend server of each request and hands it to the dispatcher of that
// backend server, on this host or over one relay hop.
//
// Every refusal states whether the request may have run. A request is sent again
// only when it did not run, or when it is idempotent and its body can be sent
// again, and only within the retry budget and the deadline.
package entry
