// Package permit queues the requests of all entry hosts for one backend server and
// decides which is sent next. One host keeps the queue of a server, a control host or for
// a cold server its dispatcher; entry hosts ask it before they send, and Reach tells them
// which hosts answer. It knows neither clock nor transport.
//
// The load that it answers: more requests for the keys of one server than it can
// work on, from many hosts that do not know of each other. Requests that can still
// meet their target go first within their rank, and one that cannot be served in
// time is refused at once.
package permit
