// Package allowance bounds the requests of each organisation over all entry hosts. The leader
// of the control group has a Lender, which lends numbers of requests to entry hosts for a
// short time; each entry host has a Holder, which spends them. The package uses no transport
// and no clock.
package allowance
