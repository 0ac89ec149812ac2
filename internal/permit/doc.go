// Package permit queues the requests of all entry hosts for one backend server and
// decides which is sent next. One host manages the queue of a server: a control host, or
// for a cold server its dispatcher. Entry hosts ask it for a permit before they send a
// request; HostHealth tells them which hosts answer. The package uses neither a clock nor
// a transport.
//
// It handles more requests for the keys of one server than the server can process, sent
// by many hosts that do not know of each other. Requests that can still meet their target
// go first within their rank, and a request that cannot be served in time is refused at
// once.
package permit
