// Package admin implements the HTTP administration API of a daemon and its
// client: publishing service files, draining data centres and backend servers,
// explaining routes, reading the status and the event timeline, and bootstrapping
// and repairing the control group.
package admin
