// Package control implements the replicated state machine of the control group
// and the duties of its leader: sessions of entry hosts, distribution of the
// routing table, tracking of which revision is in force, and decisions to split
// and move slices.
package control
