// Command platform runs the cases of the second review that are scripts. It starts the project's
// daemon with the commands of the deploy file, on loopback addresses, and brings stand-ins of its
// own: backend servers, callers, an operator and other writers of status reports.
package main
