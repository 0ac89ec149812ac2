// Package keylease tracks the leases on keys that the leader grants to backend
// servers in heartbeat replies: which keys a server may hold, and when its lease
// has certainly expired. It holds the leader's record of heartbeats and uses neither
// clock nor transport.
//
// A lease counts from when the heartbeat was sent, on a clock that may run slow.
// A slice goes to another owner only when a later heartbeat of the same process
// no longer lists it, or when the longest lease that any leader may have granted has
// expired. A new leader does not know which heartbeats earlier leaders have answered, so
// releases count for it only once the leases of earlier leaders have expired.
package keylease
