package quarantine

import (
	"slices"
	"time"
)

// candidate is a request that was in flight at one or more crashes.
type candidate struct {
	fp      Fingerprint
	crashes []*crash // oldest first
}

const (
	// minCrashedServers is the number of different servers that a request must have crashed to be quarantined.
	minCrashedServers = 2
	// minCrashesOfOneServer is the number of crashes of a single server that have the same effect. It is larger, because
	// a server may crash repeatedly by itself.
	minCrashesOfOneServer = 3
	// minUnrelatedServers is the number of different servers at which the crashes of other servers at the same time don't
	// count in favour of a request. A request that was in flight at so many crashes, and completed nowhere in between,
	// is hardly there by chance.
	minUnrelatedServers = 3
)

// maxStrongCandidates is the maximum number of requests of a service that are quarantined for crashes within
// CorrelationWindow, of those that were in flight at minUnrelatedServers servers or more. With 1,000 broken exchanges
// per second, of which a tenth breaks again at each attempt, 10 innocent requests reach four crashes in the window.
const maxStrongCandidates = 16

// servers returns the number of servers that went down with the request in flight.
func (c candidate) servers() int {
	servers := map[string]bool{}
	for _, crash := range c.crashes {
		servers[crash.target.Name] = true
	}
	return len(servers)
}

// eligibleAt returns the time of the crash that made the request eligible for quarantine, or false if there is none.
func (c candidate) eligibleAt() (time.Time, bool) {
	servers := map[string]bool{}
	for i, crash := range c.crashes {
		servers[crash.target.Name] = true
		if len(servers) >= minCrashedServers || i+1 >= minCrashesOfOneServer {
			return crash.at, true
		}
	}
	return time.Time{}, false
}

// evaluate derives all entries from the crashes. In a wave of crashes, only requests that were in flight at
// minUnrelatedServers crashes are suspected: thousands of permits would be needed for the others.
func (t *evidenceTable) evaluate(wave bool) {
	t.entries = map[Fingerprint]Entry{}
	t.suppressed = 0
	eligible := map[string][]candidate{}
	minCrashes := 1
	if wave {
		minCrashes = minUnrelatedServers
	}
	for _, c := range t.candidates(minCrashes) {
		t.entries[c.fp] = t.newEntry(c, Suspected)
		if _, ok := c.eligibleAt(); ok && t.score(c) >= t.limits.MinScore {
			eligible[c.fp.Service] = append(eligible[c.fp.Service], c)
		}
	}
	for service, list := range eligible {
		for _, c := range list {
			if t.isMassCrash(service, c, list) {
				t.suppressed++
				continue
			}
			t.entries[c.fp] = t.newEntry(c, Quarantined)
		}
	}
}

// candidates returns the suspects of at least minCrashes crashes.
func (t *evidenceTable) candidates(minCrashes int) []candidate {
	byFingerprint := map[Fingerprint][]*crash{}
	for _, c := range t.crashes {
		for fp := range c.suspects {
			if t.counts[fp] >= minCrashes {
				byFingerprint[fp] = append(byFingerprint[fp], c)
			}
		}
	}
	list := make([]candidate, 0, len(byFingerprint))
	for fp, crashes := range byFingerprint {
		slices.SortFunc(crashes, func(a, b *crash) int { return a.at.Compare(b.at) })
		list = append(list, candidate{fp: fp, crashes: crashes})
	}
	return list
}

func (t *evidenceTable) score(c candidate) float64 {
	sum := 0.0
	for _, crash := range c.crashes {
		sum += crash.weight()
	}
	return sum
}

func (t *evidenceTable) newEntry(c candidate, state State) Entry {
	e := Entry{State: state, Score: t.score(c)}
	for _, crash := range c.crashes {
		e.Targets = append(e.Targets, crash.target.Name)
		if expiresAt := crash.at.Add(t.limits.Retention); expiresAt.After(e.ExpiresAt) {
			e.ExpiresAt = expiresAt
		}
	}
	slices.Sort(e.Targets)
	e.Targets = slices.Compact(e.Targets)
	return e
}

// isMassCrash reports whether the crashes around the one that made the candidate eligible look like a fault of the whole
// service. This is so if more than Limits.MaxCandidates requests would be quarantined for them, or if more
// servers went down with no candidate in flight than with this one.
//
// A request may crash servers while others go down for another reason. One that was in flight at minUnrelatedServers
// servers or more is therefore compared only with those that were in flight at as many.
func (t *evidenceTable) isMassCrash(service string, c candidate, list []candidate) bool {
	at, _ := c.eligibleAt()
	servers, limit := c.servers(), maxStrongCandidates
	strong := servers >= minUnrelatedServers
	if !strong {
		servers, limit = 0, t.limits.MaxCandidates
	}
	simultaneous := 0
	for _, other := range list {
		if otherAt, _ := other.eligibleAt(); within(otherAt, at, t.limits.CorrelationWindow) && other.servers() >= servers {
			simultaneous++
		}
	}
	if simultaneous > limit {
		return true
	}
	return !strong && t.countUnexplained(service, at, list) > len(c.crashes)
}

// countUnexplained returns the number of crashes of the service around the given time at which no candidate
// was in flight.
func (t *evidenceTable) countUnexplained(service string, around time.Time, list []candidate) int {
	n := 0
	for _, crash := range t.crashes {
		if crash.target.service != service || !within(crash.at, around, t.limits.CorrelationWindow) {
			continue
		}
		explains := func(c candidate) bool { return crash.suspects[c.fp] }
		if !slices.ContainsFunc(list, explains) {
			n++
		}
	}
	return n
}
