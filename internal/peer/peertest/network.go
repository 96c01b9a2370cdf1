// Package peertest provides an in-memory fake of package peer for tests. A Network connects Nodes that implement
// peer.Caller. The links between pairs of nodes can be cut, blackholed, delayed or made unreliable.
package peertest

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/bilberryline/bilberryline/internal/clock"
)

// Network connects nodes. It is safe for concurrent use.
type Network struct {
	clock clock.Clock

	mu    sync.Mutex
	rng   *rand.Rand
	nodes map[string]*Node
	links map[pair]*link
	// delayOf is the delay of links without one of their own, and observe is told of each message. They may be nil.
	delayOf func(from, to string) time.Duration
	observe func(from, to string, bytes int)
}

// pair identifies one direction between two nodes.
type pair struct{ from, to string }

// link is the state of one direction. The zero value has no faults.
type link struct {
	cut             bool
	blackholed      bool
	delay           time.Duration
	openFailureRate float64       // fraction of new exchanges that fail, 0 to 1
	broken          chan struct{} // closed when the link is cut
}

// New returns a network that uses c for delays and rng for random failures.
func New(c clock.Clock, rng *rand.Rand) *Network {
	return &Network{clock: c, rng: rng, nodes: map[string]*Node{}, links: map[pair]*link{}}
}

// linkLocked returns the link of a direction. The caller holds mu.
func (n *Network) linkLocked(p pair) *link {
	l := n.links[p]
	if l == nil {
		l = &link{broken: make(chan struct{})}
		n.links[p] = l
	}
	return l
}

// updateLinks applies a change to both directions between a and b.
func (n *Network) updateLinks(a, b string, apply func(l *link)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	apply(n.linkLocked(pair{a, b}))
	apply(n.linkLocked(pair{b, a}))
}

// Cut breaks the open exchanges between a and b and makes new ones fail immediately with an
// UnreachableError.
func (n *Network) Cut(a, b string) {
	n.updateLinks(a, b, func(l *link) {
		if l.cut {
			return
		}
		l.cut = true
		close(l.broken)
	})
}

// Blackhole drops all messages between a and b, in open and in new exchanges, until Heal.
func (n *Network) Blackhole(a, b string) {
	n.updateLinks(a, b, func(l *link) { l.blackholed = true })
}

// Heal removes the faults set by Cut, Blackhole, Delay and SetOpenFailureRate between a and b. Messages dropped
// before stay lost.
func (n *Network) Heal(a, b string) {
	n.updateLinks(a, b, func(l *link) {
		if l.cut {
			l.broken = make(chan struct{})
		}
		*l = link{broken: l.broken}
	})
}

// Delay sets the one-way delay of messages between a and b.
func (n *Network) Delay(a, b string, d time.Duration) {
	n.updateLinks(a, b, func(l *link) { l.delay = d })
}

// SetDelays sets the one-way delay of all links without one of their own. It must be called before the first message.
func (n *Network) SetDelays(delayOf func(from, to string) time.Duration) { n.delayOf = delayOf }

// Observe has observe called with each message and its size. It must be called before the first message; observe must be
// safe for concurrent use.
func (n *Network) Observe(observe func(from, to string, bytes int)) { n.observe = observe }

// SetOpenFailureRate makes a random fraction of new exchanges between a and b fail with an UnreachableError.
func (n *Network) SetOpenFailureRate(a, b string, rate float64) {
	n.updateLinks(a, b, func(l *link) { l.openFailureRate = rate })
}

// Partition cuts each pair of nodes that are in different groups.
func (n *Network) Partition(groups ...[]string) { n.acrossGroups(groups, n.Cut) }

// HealPartition heals each pair of nodes that are in different groups.
func (n *Network) HealPartition(groups ...[]string) { n.acrossGroups(groups, n.Heal) }

func (n *Network) acrossGroups(groups [][]string, apply func(a, b string)) {
	for i, group := range groups {
		for _, other := range groups[i+1:] {
			for _, a := range group {
				for _, b := range other {
					apply(a, b)
				}
			}
		}
	}
}

// linkState returns a copy of a link and decides whether a new exchange over it fails.
func (n *Network) linkState(p pair) (l link, fails bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l = *n.linkLocked(p)
	if l.delay == 0 && n.delayOf != nil {
		l.delay = n.delayOf(p.from, p.to)
	}
	fails = l.cut || (l.openFailureRate > 0 && n.rng.Float64() < l.openFailureRate)
	return l, fails
}

func (n *Network) node(id string) *Node {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.nodes[id]
}
