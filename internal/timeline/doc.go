// Package timeline keeps a bounded history of typed events in each process and
// merges the histories of many processes into one order.
//
// Events are stamped with a hybrid logical clock that is carried on every
// message between daemons, so that an event caused by a message sorts after
// the event that sent it even where the wall clocks disagree.
package timeline
