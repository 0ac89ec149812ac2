// Package service parses and validates service files, in which teams configure
// the routing of their services, and matches requests to services.
package service
