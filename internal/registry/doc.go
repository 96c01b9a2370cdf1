// Package registry keeps a copy of the shared store's contents on each entry host: the configuration in
// force, the registered backend servers, the registered entry hosts and the evacuated data centres.
//
// A few hosts watch the store; the others follow one of them. Every record carries the store revision of
// its last change and is only replaced by a record with a higher revision. A host can therefore combine
// and switch sources without returning to an older state.
//
// Registry.mu is a leaf in the lock order: no call to the store or to a peer is made while holding it.
package registry
