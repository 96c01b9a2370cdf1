package quarantine

import (
	"slices"
	"time"
)

// evidenceTable holds the evidence of all entry hosts that this host has received. It reads no clock: times
// are arguments. It is guarded by Tracker.mu.
type evidenceTable struct {
	limits     Limits
	crashes    []*crash
	cleared    map[Fingerprint]time.Time // time of the latest clearance
	entries    map[Fingerprint]Entry     // derived from the evidence by evaluate
	suppressed int                       // requests that isMassCrash kept out of quarantine at the last evaluation
}

func newEvidenceTable(limits Limits) *evidenceTable {
	return &evidenceTable{
		limits:  limits,
		cleared: map[Fingerprint]time.Time{},
		entries: map[Fingerprint]Entry{},
	}
}

// addCrash adds a crash report. Reports on the same target within Limits.CorrelationWindow are merged into
// one crash. A report without suspects is ignored.
func (t *evidenceTable) addCrash(key targetKey, at time.Time, suspects []Fingerprint) {
	if len(suspects) == 0 {
		return
	}
	c := t.findOrAddCrash(key, at)
	if c == nil {
		return
	}
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
		c.suspects[fp] = true
	}
}

// findOrAddCrash returns the crash that a report belongs to. It adds one if there is none, and returns nil if
// the table is full.
func (t *evidenceTable) findOrAddCrash(key targetKey, at time.Time) *crash {
	for _, c := range t.crashes {
		if c.target == key && within(c.at, at, t.limits.CorrelationWindow) {
			return c
		}
	}
	if len(t.crashes) >= t.limits.MaxCrashes {
		return nil
	}
	c := &crash{target: key, at: at, suspects: map[Fingerprint]bool{}}
	t.crashes = append(t.crashes, c)
	return c
}

// clear records that a request completed at the given time and removes it from the suspects of all crashes up
// to then. It reports whether the request was a suspect of any of them.
func (t *evidenceTable) clear(fp Fingerprint, at time.Time) bool {
	found := false
	for _, c := range t.crashes {
		if c.suspects[fp] && !c.at.After(at) {
			delete(c.suspects, fp)
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
	t.crashes = slices.DeleteFunc(t.crashes, func(c *crash) bool { return expired(c.at) })
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
