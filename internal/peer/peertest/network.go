// Package peertest is an in-memory stand-in of package peer for the tests of its users. A Network
// joins Nodes that implement peer.Caller; pairs of nodes can be cut, silenced, delayed or lose
// exchanges.
package peertest

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/bilberryline/bilberryline/internal/clock"
)

// Network joins nodes. It is safe for concurrent use.
type Network struct {
	clock clock.Clock

	mu    sync.Mutex
	rng   *rand.Rand
	nodes map[string]*Node
	links map[pair]*link
}

// pair names one direction.
type pair struct{ from, to string }

// link is the condition of one direction. The zero value is a good link.
type link struct {
	cut             bool
	blackholed      bool
	delay           time.Duration
	openFailureRate float64 // share of exchanges that can't be opened, 0 to 1
	broken          chan struct{}
}

// New returns a network whose delays use c and whose losses use rng.
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

func (n *Network) updateLinks(a, b string, apply func(l *link)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	apply(n.linkLocked(pair{a, b}))
	apply(n.linkLocked(pair{b, a}))
}

// Cut breaks the exchanges between a and b and makes new ones fail at once with an
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

// Blackhole swallows messages between a and b, of open and of new exchanges, until Heal.
func (n *Network) Blackhole(a, b string) {
	n.updateLinks(a, b, func(l *link) { l.blackholed = true })
}

// Heal ends Cut, Silence, Delay and Drop between a and b. Messages swallowed before stay lost.
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

// SetOpenFailureRate makes a share of new exchanges between a and b fail with an UnreachableError.
func (n *Network) SetOpenFailureRate(a, b string, share float64) {
	n.updateLinks(a, b, func(l *link) { l.openFailureRate = share })
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

// linkState returns a copy of the link's linkState and decides whether an exchange is lost.
func (n *Network) linkState(p pair) (l link, lost bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l = *n.linkLocked(p)
	lost = l.cut || (l.openFailureRate > 0 && n.rng.Float64() < l.openFailureRate)
	return l, lost
}

func (n *Network) node(id string) *Node {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.nodes[id]
}
