// Package pipeline serves pipelined requests side by side. net/http reads the next request of a
// connection only after it has answered the previous one. A Front reads further requests ahead,
// begins those that may be repeated, and holds their answers until net/http reaches them.
//
// net/http remains the only reader and writer of HTTP on the connection: it parses every
// request again and frames every answer. A request that was begun ahead only finds its answer
// ready, or in the making.
package pipeline
