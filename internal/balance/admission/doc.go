// Package admission orders the requests that wait at a host for a service and decides which of them to refuse when the
// service is short of capacity. What is delayed or refused is what costs callers least, by its priority, its deadline and
// the work that it needs.
//
// It handles these load patterns: the crest of a swing in demand, one class at 2.6 times its usual load, all classes at
// 1.7 times, callers that retry at once, the loss of a fifth of the servers, and one workspace at 7 times its usual load.
// A host sees few requests a second, so that its estimates are noisy; they are used only while there is a shortage.
// Otherwise the order is by priority and end of objective, and nothing is refused.
//
// All functions take the time and keep no locks.
package admission
