// Package coldstart decides which backend servers get requests although they may be cold, and how many. A cold server
// works at a fraction of its speed and crashes when it gets many more requests than it bears. All functions are pure:
// they take the time and the list of hosts and return a decision.
//
// The load pattern: servers restart at any time, under the same name and address, and a whole data centre returns cold
// at once. More than a hundred hosts know the servers only by their own exchanges, with messages that are milliseconds
// to seconds old, and each of them sends a server a request now and then.
//
// A host treats a server as warm only for a short time after the server's health path said so (Knowledge). One host, the
// first of a ranking, sends to a cold server, at a pace (Pacer) that leaves room for maxViews such hosts.
//
// In any second, all hosts together send a cold server at most the requests that Limits allows, provided that
//   - a server that turns cold breaks its connections to the hosts, or is silent for at least 2 x MaxSilence before;
//     one that turns cold while it goes on responding is noticed after MaxVerifiedAge at the latest;
//   - hosts that receive the list of hosts learn of each change within ViewDelay;
//   - at most maxViews - 1 other hosts act by an older list at the same time, because they are cut off or were paused.
package coldstart
