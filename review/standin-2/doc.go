//go:build review

// Command standin-2 plays the cases of the second review that can't be put as a day of the bench. It starts the gateways
// as processes with the command and the environment of the deploy file, and holds the stand-ins: the platform's store, the
// backend servers and the callers. All addresses are loopback addresses.
package main
