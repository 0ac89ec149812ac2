// Package limit decides how many requests one backend server gets at once: its
// concurrency limit, its cold start and its bounded, deadline-aware queue. It uses
// neither a transport nor a clock: the caller passes the time and holds a lock.
package limit
