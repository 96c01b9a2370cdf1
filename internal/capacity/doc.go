// Package capacity measures how the cost of each component grows with the number of targets, the number
// of hosts and the request rate. From the fitted lines it derives the resources that the design size
// needs. It writes the generated part of docs/CAPACITY.md and a plot of each series. It runs the module's
// Go benchmarks and real processes on loopback, so it must be started in the module's root.
package capacity
