// Package service is the aggregate of service files: what a team states about
// the routing of its service, the checks on it, and the matching of requests.
package service
