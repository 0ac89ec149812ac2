// Package keylease decides what a backend server that is granted keys in the
// answers to its heartbeats may hold, and when it surely holds them no more. It
// is the leader's memory of heartbeats and knows neither clock nor transport.
//
// A lease counts from when the heartbeat was sent, on a clock that may run slow.
// A slice passes to another owner only when a later heartbeat of the same process
// no longer lists it, or when the longest lease that anyone may have granted is
// over.
package keylease
