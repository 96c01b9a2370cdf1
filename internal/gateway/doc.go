// Package gateway is an HTTP reverse proxy for backend servers that register themselves. For each request it
// matches a route, chooses a backend server by its current load, sends the request, and returns the complete
// response. When no response is available, it refuses the request as not run or reports that the outcome is
// unknown.
//
// Lock order: the lock of a server is a leaf. No lock is held across I/O.
package gateway
