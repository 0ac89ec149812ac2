// Package logstore keeps the durable state of a replica in one folder: an
// identity file, a log of checksummed records in segments, and a snapshot.
//
// Every write is synced before it returns. A record that a crash cut short at
// the end of the log is truncated when the store is opened; on any other damage
// the store refuses to open. After a failed write or sync the store refuses
// every further write, because it is unknown what reached the disk.
package logstore
