// Package daemon puts the parts of one process together: its listeners, its
// session, its dispatcher, its entry for callers and, on hosts that the
// settings name, its control replica.
package daemon
