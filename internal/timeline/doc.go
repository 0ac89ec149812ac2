// Package timeline records a bounded history of events in each process and merges
// the histories of many processes into one order.
//
// Events are stamped by a hybrid logical clock. Every message between daemons
// carries a reading of the sender's clock, so that an event caused by a message
// sorts after the event that sent it even if the wall clocks disagree.
package timeline
