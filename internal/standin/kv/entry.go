// Package kv simulates the platform's key-value service for tests. It implements the Consul KV HTTP
// protocol: compare-and-swap, sessions as leases, and blocking queries as watches. It counts calls,
// limits rates and injects faults. All data is in memory.
package kv

// Entry is one key in the wire format of the Consul KV protocol. Value is base64 in JSON.
type Entry struct {
	LockIndex   uint64
	Key         string
	Flags       uint64
	Value       []byte
	CreateIndex uint64
	ModifyIndex uint64
	Session     string `json:",omitempty"`
}

// MaxValueSize is the maximum size of a value in bytes.
const MaxValueSize = 1 << 20
