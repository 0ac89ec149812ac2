// Package standincli is the command line of the stand-in backend server.
package standincli
