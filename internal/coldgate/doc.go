// Package coldgate bounds the requests that all entry hosts together send to cold
// backend servers. Each cold server has one host that gives out permits; each
// permit is for one request and is used at once.
package coldgate
