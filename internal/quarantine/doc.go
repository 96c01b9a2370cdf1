// Package quarantine detects requests that crash the backend servers that run them, and makes all entry
// hosts refuse such a request before it takes down a third server.
//
// The evidence is a connection that breaks while a request is in flight, followed by its server going down.
// A request that was in flight at one crash is suspected: it runs on one server at a time until it completes
// somewhere, which clears it. A request that was in flight at the crashes of two servers is quarantined, that
// is, refused, unless the crashes involve so many servers or requests that the cause must be another.
//
// Load pattern: a wave, in which hundreds of exchanges per second break at many servers at once. Timeouts are no evidence,
// hosts report by way of a few hubs, which tell all hosts only what may decide something, and budgets bound the messages
// and bytes per second of the whole fleet.
//
// The decision is a pure function of the evidence, so hosts with the same evidence decide alike, regardless of
// the order in which it reached them.
package quarantine
