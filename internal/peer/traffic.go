package peer

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
)

// Traffic holds the number of bytes of the frames exchanged with one host for one method.
type Traffic struct {
	// Host is the id of the other host. It is empty in the sum over hosts without a link or session.
	Host string
	// Distance is how far away the host is, as Config.Distance says.
	Distance string
	// Method is the method of the exchanges.
	Method Method
	// Sent and Received are in bytes.
	Sent, Received uint64
}

type methodCounter struct {
	host           string
	method         Method
	sent, received atomic.Uint64
}

// hostCounters holds the counters of one host by method.
type hostCounters struct {
	host string

	mu      sync.RWMutex
	methods map[Method]*methodCounter
}

// get returns the counter of a method and creates it if needed.
func (c *hostCounters) get(m Method) *methodCounter {
	c.mu.RLock()
	found := c.methods[m]
	c.mu.RUnlock()
	if found != nil {
		return found
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.methods == nil {
		c.methods = map[Method]*methodCounter{}
	}
	if c.methods[m] == nil {
		c.methods[m] = &methodCounter{host: c.host, method: m}
	}
	return c.methods[m]
}

func (c *hostCounters) read() []Traffic {
	c.mu.RLock()
	defer c.mu.RUnlock()
	all := make([]Traffic, 0, len(c.methods))
	for _, m := range c.methods {
		all = append(all, Traffic{
			Host:     m.host,
			Method:   m.method,
			Sent:     m.sent.Load(),
			Received: m.received.Load(),
		})
	}
	return all
}

func compareTraffic(a, b Traffic) int {
	return cmp.Or(strings.Compare(a.Host, b.Host), strings.Compare(a.Distance, b.Distance), strings.Compare(string(a.Method), string(b.Method)))
}

// Traffic returns the counters of all hosts and methods, ordered by host and method.
func (n *Node) Traffic() []Traffic {
	var all []Traffic
	add := func(c *hostCounters, distance string) {
		for _, t := range c.read() {
			t.Distance = distance
			all = append(all, t)
		}
	}
	n.mu.Lock()
	past, present := maps.Clone(n.pastCounters), maps.Clone(n.counters)
	n.mu.Unlock()
	for distance, c := range past {
		add(c, distance)
	}
	for host, c := range present {
		add(c, n.cfg.Distance(host))
	}
	slices.SortFunc(all, compareTraffic)
	return all
}

// foldCounters moves the counters of hosts that have neither a link nor a session to pastCounters.
func (n *Node) foldCounters() {
	n.mu.Lock()
	distances := make(map[string]string, len(n.counters))
	for host := range n.counters {
		distances[host] = ""
	}
	n.mu.Unlock()
	for host := range distances {
		distances[host] = n.cfg.Distance(host)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	live := make(map[string]bool, len(n.links))
	for s := range n.sessions {
		live[s.remote] = true
	}
	for host, c := range n.counters {
		if live[host] || n.links[host] != nil {
			continue
		}
		distance, known := distances[host]
		if !known {
			continue // a new one
		}
		if n.pastCounters[distance] == nil {
			n.pastCounters[distance] = &hostCounters{}
		}
		for _, t := range c.read() {
			sum := n.pastCounters[distance].get(t.Method)
			sum.sent.Add(t.Sent)
			sum.received.Add(t.Received)
		}
		delete(n.counters, host)
	}
}

// ConnectionBytes returns the number of bytes sent and received on all connections, including yamux framing and
// excluding TCP and IP headers.
func (n *Node) ConnectionBytes() (sent, received uint64) {
	return n.sent.Load(), n.received.Load()
}

// countersFor returns the counters of a host and creates them if needed.
func (n *Node) countersFor(host string) *hostCounters {
	n.mu.Lock()
	defer n.mu.Unlock()
	c := n.counters[host]
	if c == nil {
		c = &hostCounters{host: host}
		n.counters[host] = c
	}
	return c
}
