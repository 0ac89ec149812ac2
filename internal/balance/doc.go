// Package balance chooses among the backend servers of a service that is not
// divided by key, and bounds retries and hedges by a budget. It knows no
// transport and no clock.
package balance
