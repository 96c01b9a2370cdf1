// Package store is a client of the platform's key-value service. It uses the Consul KV HTTP protocol: reads,
// compare-and-swap, watches with blocking queries, and leases with sessions.
package store
