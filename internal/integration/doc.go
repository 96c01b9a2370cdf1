// Package integration contains end-to-end tests. They run entry hosts as processes against a simulated platform
// and inject the failures that the load balancer must tolerate.
package integration
