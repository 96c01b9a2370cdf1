// Package expect predicts the response time of a request on a backend server. It uses the server's last load
// report, the requests sent to the server since that report, and the server's recent response times. All functions
// are pure.
//
// It is meant for backend servers that share their machines with other load. The speed of such a server changes
// several times between two requests, so a fresh report is worth more than an exact count of requests.
package expect
