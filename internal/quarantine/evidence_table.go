package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// evidenceTable holds the evidence of all entry hosts that this host has received. It reads no clock: times
// are arguments. It is guarded by Tracker.mu.
type evidenceTable struct {
	limits     Limits
	crashes    []*crash
	counts     map[Fingerprint]int       // number of crashes by suspect
	cleared    map[Fingerprint]time.Time // time of the latest clearance
	entries    map[Fingerprint]Entry     // derived from the evidence by evaluate
	suppressed int                       // requests that isMassCrash kept out of quarantine at the last evaluation
}

func newEvidenceTable(limits Limits) *evidenceTable {
	return &evidenceTable{
		limits:  limits,
		counts:  map[Fingerprint]int{},
		cleared: map[Fingerprint]time.Time{},
		entries: map[Fingerprint]Entry{},
	}
}

// addCrash adds a crash report and returns the suspects that are new. Reports on the same target within
// Limits.CorrelationWindow are merged into one crash. A report without suspects is ignored.
func (t *evidenceTable) addCrash(key targetKey, at time.Time, suspects []Fingerprint) (added []Fingerprint) {
	if len(suspects) == 0 {
		return nil
	}
	c := t.findOrAddCrash(key, at)
	if at.Before(c.at) {
		c.at = at
	}
	for _, fp := range suspects {
		if len(c.suspects) >= t.limits.MaxSuspects {
			break
		}
		if cleared, ok := t.cleared[fp]; ok && !cleared.Before(at) {
			continue
		}
		if !c.suspects[fp] {
			c.suspects[fp] = true
			t.counts[fp]++
			added = append(added, fp)
		}
	}
	return added
}

// findOrAddCrash returns the crash that a report belongs to. It adds one if there is none.
func (t *evidenceTable) findOrAddCrash(key targetKey, at time.Time) *crash {
	for _, c := range t.crashes {
		if c.target == key && within(c.at, at, t.limits.CorrelationWindow) {
			return c
		}
	}
	if len(t.crashes) >= t.limits.MaxCrashes {
		t.evict()
	}
	c := &crash{target: key, at: at, suspects: map[Fingerprint]bool{}}
	t.crashes = append(t.crashes, c)
	return c
}

// evictedShare is the part of a full table that is evicted at once, since the choice costs a look at all crashes.
const evictedShare = 8

// evict makes room in a full table. It drops the crashes whose suspects were in flight at the fewest others, oldest first:
// in a wave of crashes, most suspects are never seen again.
func (t *evidenceTable) evict() {
	most := func(c *crash) int {
		n := 0
		for fp := range c.suspects {
			n = max(n, t.counts[fp])
		}
		return n
	}
	rank := make(map[*crash]int, len(t.crashes))
	for _, c := range t.crashes {
		rank[c] = most(c)
	}
	slices.SortFunc(t.crashes, func(a, b *crash) int { return cmp.Or(rank[b]-rank[a], b.at.Compare(a.at)) })
	kept := len(t.crashes) - max(len(t.crashes)/evictedShare, 1)
	for _, c := range t.crashes[kept:] {
		t.drop(c)
	}
	t.crashes = slices.Delete(t.crashes, kept, len(t.crashes))
}

// drop updates the counts for a crash that leaves the table.
func (t *evidenceTable) drop(c *crash) {
	for fp := range c.suspects {
		t.uncount(fp)
	}
}

func (t *evidenceTable) uncount(fp Fingerprint) {
	t.counts[fp]--
	if t.counts[fp] == 0 {
		delete(t.counts, fp)
	}
}

// crashCount returns the number of crashes at which the request was in flight.
func (t *evidenceTable) crashCount(fp Fingerprint) int { return t.counts[fp] }

// crashesOf returns a report for each crash at which the request was in flight, with this request as the only suspect.
func (t *evidenceTable) crashesOf(fp Fingerprint) []crashReport {
	var list []crashReport
	for _, c := range t.crashes {
		if c.suspects[fp] {
			list = append(list, crashReport{target: c.target, at: c.at, suspects: []Fingerprint{fp}})
		}
	}
	return list
}

// clear records that a request completed at the given time and removes it from the suspects of all crashes up
// to then. It reports whether the request was a suspect of any of them.
func (t *evidenceTable) clear(fp Fingerprint, at time.Time) bool {
	found := false
	for _, c := range t.crashes {
		if c.suspects[fp] && !c.at.After(at) {
			delete(c.suspects, fp)
			t.uncount(fp)
			found = true
		}
	}
	if t.cleared[fp].Before(at) && len(t.cleared) < t.limits.MaxClearances {
		t.cleared[fp] = at
	}
	return found
}

// expire drops crashes and clearances that are older than Limits.Retention.
func (t *evidenceTable) expire(now time.Time) {
	expired := func(at time.Time) bool { return now.Sub(at) >= t.limits.Retention }
	t.crashes = slices.DeleteFunc(t.crashes, func(c *crash) bool {
		if !expired(c.at) {
			return false
		}
		t.drop(c)
		return true
	})
	for fp, at := range t.cleared {
		if expired(at) {
			delete(t.cleared, fp)
		}
	}
}

// get returns the entry of a request unless it has expired.
func (t *evidenceTable) get(fp Fingerprint, now time.Time) (Entry, bool) {
	e, ok := t.entries[fp]
	if !ok || !now.Before(e.ExpiresAt) {
		return Entry{}, false
	}
	return e, true
}

// hasCrash reports whether the table holds the crash that a report belongs to.
func (t *evidenceTable) hasCrash(key targetKey, at time.Time) bool {
	return slices.ContainsFunc(t.crashes, func(c *crash) bool {
		return c.target == key && within(c.at, at, t.limits.CorrelationWindow)
	})
}
