// Package admin is the administration API of a daemon: publishing service
// files, taking data centres and backend servers out, explaining routes,
// reading status and the time line, and repairing the control group.
package admin
