// Package entry implements the entry host process. It wires together the listener for callers, the
// configuration, the membership, the slot groups and the connections to backend servers, serves the
// administration listener and shuts down gracefully.
package entry
