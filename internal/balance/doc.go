// Package balance chooses among the backend servers of a service that is not
// divided by key, and bounds retries and hedges by a budget. It uses neither a
// transport nor a clock: the caller passes the time.
package balance
