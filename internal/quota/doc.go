// Package quota limits how many requests of a workspace all hosts together send to backend servers.
//
// It is built for a load that is concentrated on few hosts at a time, moves between data centres within seconds and may
// rise to nine times its usual level within a second. Each data centre has one coordinator. It owns an equal share of each
// workspace's token bucket and hands tokens to the hosts of its data centre. A coordinator that needs more than its share
// takes tokens from the coordinators of other data centres, which deduct them first, so that the sum over all hosts is
// bounded whichever messages are lost or late. A coordinator accrues tokens only while a majority of the hosts of its data
// centre vote for it.
//
// Limiter, Coordinator and Ballot are pure: times are arguments. Service adds locks and messages.
package quota
