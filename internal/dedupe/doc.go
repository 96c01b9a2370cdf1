// Package dedupe ensures that a request with an Idempotency-Key runs at most once.
//
// Each key has two holders: entry hosts of the caller's home region, selected by rendezvous hashing.
// A run may start only after both holders have recorded it. A holder records a new key only if it
// can reach the majority of its region, agrees with the sender on the key's holders, and has pulled
// the key's records from all members of its region since the holders changed. Keys whose holders
// were all lost at once are refused for the length of their window.
//
// The state is soft: it is kept in memory, is bounded, and needs no store. The safety argument and
// its limits are in docs/GUARANTEES.md.
package dedupe
