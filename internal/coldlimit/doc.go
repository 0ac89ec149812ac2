// Package coldlimit limits the rate of requests that all entry hosts together send to
// cold backend servers. One host grants the permits for each cold server; each
// permit is for one request and is used at once.
package coldlimit
