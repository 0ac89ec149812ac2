// Package standincli implements the command line of the stand-in backend server.
package standincli
