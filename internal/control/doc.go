// Package control is the state that the control group replicates, and the
// duties of its leader: sessions of entry hosts, distribution of the routing
// table, tracking of what is in force, and decisions to move slices.
package control
