// Package daemon assembles and runs the process of a host: its listeners, its session,
// its dispatcher, its entry for callers and, on hosts that the settings list, its control
// replica. Daemon has all roles; EntryHost and ControlHost have one role each.
package daemon
