package quota

import (
	"slices"
	"time"

	"github.com/bilberryline/bilberryline/internal/rendezvous"
)

// Member is a registered host.
type Member struct {
	ID, Site, Region string
}

// fleet ranks the registered hosts of each data centre.
type fleet struct {
	ranked     map[string][]string  // hosts by data centre, in the order in which they are asked
	regions    map[string]string    // region of each data centre
	seen       map[string]time.Time // when a host of the data centre was last registered
	down       map[string]time.Time // hosts that didn't answer, and when they are asked again in the background
	registered map[string]bool
	failed     map[string]time.Time // when no host of the data centre was last reached
	unknown    map[string]time.Time // when a host of the own data centre was last heard from that isn't in the view
}

const (
	// siteRetention is the time for which a data centre keeps its share after its last host was deregistered. It may still
	// be granting tokens.
	siteRetention = 5 * time.Second
	// downTime is the interval at which a host that didn't answer is asked again in the background, and the time for which
	// a data centre counts as unreachable.
	downTime = time.Second
)

func newFleet() *fleet {
	return &fleet{seen: make(map[string]time.Time), down: make(map[string]time.Time), failed: make(map[string]time.Time), unknown: make(map[string]time.Time)}
}

// update applies a new view of the registered hosts.
func (f *fleet) update(members []Member, now time.Time) {
	for site := range f.ranked {
		f.seen[site] = now
	}
	bySite := make(map[string][]string)
	f.regions, f.registered = make(map[string]string), make(map[string]bool, len(members))
	for _, m := range members {
		bySite[m.Site] = append(bySite[m.Site], m.ID)
		f.regions[m.Site] = m.Region
		f.registered[m.ID] = true
		f.seen[m.Site] = now
	}
	f.ranked = make(map[string][]string, len(bySite))
	for site, hosts := range bySite {
		f.ranked[site] = rendezvous.Rank("quota\x00"+site, hosts)
	}
}

// sites returns the number of data centres that may be granting tokens.
func (f *fleet) sites(now time.Time) int {
	n := 0
	for site, at := range f.seen {
		if f.ranked[site] == nil && now.Sub(at) >= siteRetention {
			delete(f.seen, site)
			continue
		}
		n++
	}
	return max(n, 1)
}

// heard records a question of a host of the own data centre.
func (f *fleet) heard(site, host string, now time.Time) {
	if !slices.Contains(f.ranked[site], host) {
		f.unknown[host] = now
	}
}

// unlisted returns the number of hosts of the own data centre that were heard from lately and aren't in the view. They
// count as voters, because the view may be outdated.
func (f *fleet) unlisted(site string, now time.Time) int {
	for host, at := range f.unknown {
		if now.Sub(at) >= siteRetention || slices.Contains(f.ranked[site], host) {
			delete(f.unknown, host)
		}
	}
	return len(f.unknown)
}

// first reports whether the host ranks first in its data centre.
func (f *fleet) first(site, host string) bool {
	return len(f.ranked[site]) > 0 && f.ranked[site][0] == host
}

// before returns the hosts of a data centre that rank before one of them.
func (f *fleet) before(site, host string) []string {
	i := max(slices.Index(f.ranked[site], host), 0)
	return f.ranked[site][:i]
}

// candidates returns up to n hosts of a data centre to ask, without one of them and those that didn't answer.
func (f *fleet) candidates(site, without string, n int) []string {
	var hosts []string
	for _, h := range f.ranked[site] {
		if _, down := f.down[h]; down || h == without {
			continue
		}
		if hosts = append(hosts, h); len(hosts) == n {
			break
		}
	}
	return hosts
}

// markDown records that a host didn't answer. It is not asked with a request that waits until it has answered a background
// question. markDown returns false if that was known.
func (f *fleet) markDown(host string, now time.Time) bool {
	_, known := f.down[host]
	f.down[host] = now.Add(downTime)
	return !known
}

// markUp records that a host answers.
func (f *fleet) markUp(host string) { delete(f.down, host) }

// due returns the hosts that didn't answer and are to be asked again in the background.
func (f *fleet) due(now time.Time) []string {
	var hosts []string
	for h, at := range f.down {
		if now.Before(at) {
			continue
		}
		if !f.registered[h] {
			delete(f.down, h)
			continue
		}
		f.down[h] = now.Add(downTime)
		hosts = append(hosts, h)
	}
	return hosts
}

// neighbours returns the other data centres, the nearest first.
func (f *fleet) neighbours(site string) []Neighbour {
	var list []Neighbour
	for other := range f.ranked {
		if other == site {
			continue
		}
		n := Neighbour{Site: other, Distance: 1}
		if f.regions[other] != f.regions[site] {
			n.Distance = 2
		}
		list = append(list, n)
	}
	slices.SortFunc(list, func(a, b Neighbour) int {
		if a.Distance != b.Distance {
			return a.Distance - b.Distance
		}
		// Each data centre asks the equally distant ones in another order, so that none is asked by all.
		wa, wb := rendezvous.Weight(site, a.Site), rendezvous.Weight(site, b.Site)
		switch {
		case wa > wb:
			return -1
		case wa < wb:
			return 1
		}
		return 0
	})
	return list
}

// resting reports whether a data centre couldn't be reached just now. Requests don't wait for another try.
func (f *fleet) resting(site string, now time.Time) bool {
	at, failed := f.failed[site]
	return failed && now.Sub(at) < downTime
}

// unreachable reports whether a data centre couldn't be reached lately.
func (f *fleet) unreachable(now time.Time) bool {
	for site, at := range f.failed {
		if f.ranked[site] != nil && now.Sub(at) < 2*downTime {
			return true
		}
	}
	return false
}
