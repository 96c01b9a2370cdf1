// Package silence decides, from observations alone, whether the servers of a service stay silent instead of refusing a
// request that they can't queue, whether a request in flight is probably lost, and whether a server has room for another.
// All functions are pure.
//
// Load pattern: demand reaches the slots of the servers. Most services refuse then, and the request is sent elsewhere.
// The servers of some services never answer, so that each request sent to a full server is lost, and keeps its caller
// waiting. A few requests in a hundred take many times longer than the others of their route and must not be taken for
// lost.
package silence
