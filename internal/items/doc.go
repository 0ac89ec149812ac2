// Package items holds the configuration of a deployment as a set of named items:
// routes, services and limits, each with its own version. For each name the
// highest version wins, whether it sets or removes the item, so that a patch may
// arrive late, twice or out of order. The package uses no transport or clock.
package items
