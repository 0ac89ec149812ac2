// Package httpanswer decides which bytes of a connection are an HTTP/1 answer.
//
// A Checker follows the bytes that another party sends and stops at the first that do not
// belong to an answer; net/http parses what it lets through. It is therefore never more
// lenient than net/http. An answer that ends with its connection is complete only if the
// connection is known to have been closed in order.
package httpanswer
