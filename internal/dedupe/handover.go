package dedupe

import (
	"slices"
	"time"
)

// maxPastSets and maxLosses bound what is remembered of earlier sets. Beyond them every key of the
// region counts as concerned by a loss.
const (
	maxPastSets = 32
	maxLosses   = 16
)

// handover decides for which keys a host may record new runs while the region's hosts change. It is
// plain state: time is an argument and the keeper's lock guards it.
//
// A host is ready for a set once each other host of the set, and each host that is leaving, has
// confirmed that it uses the same set and has handed over its records. Of two hosts one of which
// has confirmed the other's set, none records a key under an earlier set any more. Before it is
// ready, a host records only keys whose holders are the same in all sets since the last one that it
// was ready for.
type handover struct {
	self        Host
	set         hostSet
	leaving     []Host
	pastSets    []hostSet // sets since the last ready one, which comes first; the present one excluded
	losses      []loss
	round       uint64
	ready       bool
	interrupted bool // the host was cut off since it was last ready, so past is incomplete
	warm        bool // the host knows the records of its region
	pending     []Host
	confirmed   []Host
}

// setHosts starts a round for a set of hosts and those that are leaving it.
func (h *handover) setHosts(set hostSet, leavers []Host) {
	if set.hash == h.set.hash {
		h.updateLeaving(leavers)
		return
	}
	if len(h.set.hosts) > 0 {
		h.addPastSet(h.set)
	}
	h.set = set
	h.leaving = leavers
	h.startRound()
}

// updateLeaving stops waiting for leaving hosts that are gone.
func (h *handover) updateLeaving(leavers []Host) {
	gone := func(host Host) bool {
		return slices.Contains(h.leaving, host) && !slices.Contains(leavers, host)
	}
	h.pending = slices.DeleteFunc(h.pending, gone)
	h.leaving = leavers
}

// interrupt starts the round again after the host was cut off or paused.
func (h *handover) interrupt() {
	h.interrupted = true
	h.startRound()
}

func (h *handover) startRound() {
	h.round++
	h.ready = false
	h.confirmed = nil
	h.pending = nil
	for _, host := range slices.Concat(h.set.hosts, h.leaving) {
		if host.ID != h.self.ID {
			h.pending = append(h.pending, host)
		}
	}
}

// addPastSet adds a set to the past.
func (h *handover) addPastSet(set hostSet) {
	known := func(s hostSet) bool { return s.hash == set.hash }
	if slices.ContainsFunc(h.pastSets, known) {
		return
	}
	h.pastSets = append(h.pastSets, set)
}

// confirm notes that a host has handed over its records in a round.
func (h *handover) confirm(host Host, round uint64, warm bool, past []hostSet, losses []loss) {
	if round != h.round {
		return
	}
	i := slices.Index(h.pending, host)
	if i < 0 {
		return
	}
	h.pending = slices.Delete(h.pending, i, i+1)
	h.confirmed = append(h.confirmed, host)
	h.warm = h.warm || warm
	for _, set := range past {
		if set.hash != h.set.hash {
			h.addPastSet(set)
		}
	}
	for _, l := range losses {
		h.addLoss(l)
	}
}

// tryComplete makes the host ready when nothing is missing. It returns true when this call did so.
func (h *handover) tryComplete(now time.Time) bool {
	if h.ready || !h.warm || len(h.pending) > 0 || len(h.set.hosts) == 0 {
		return false
	}
	survivors := newHostSet(append(slices.Clone(h.confirmed), h.self))
	if len(h.pastSets) > maxPastSets {
		h.addLoss(loss{at: now, allKeys: true})
	}
	for _, set := range h.pastSets {
		h.addLoss(loss{before: set, survivors: survivors, at: now})
	}
	h.pastSets = nil
	h.ready = true
	h.interrupted = false
	return true
}

func (h *handover) addLoss(l loss) {
	same := func(known loss) bool { return known.hash() == l.hash() }
	if !l.affectsAny() || slices.ContainsFunc(h.losses, same) {
		return
	}
	if len(h.losses) >= maxLosses {
		h.losses = []loss{{at: l.at, allKeys: true}}
		return
	}
	h.losses = append(h.losses, l)
}

// allowsNewRuns tells whether new runs of a key may be recorded as far as records of the key can be missing
// here.
func (h *handover) allowsNewRuns(id ID) bool {
	if h.ready {
		return true
	}
	if h.interrupted || len(h.pastSets) == 0 || len(h.pastSets) > maxPastSets {
		return false
	}
	present := h.set.holders(id)
	for _, set := range h.pastSets {
		if !set.holders(id).equal(present) {
			return false
		}
	}
	return true
}

// mayHaveLost tells whether records of a key that are kept for a time may have been mayHaveLost.
func (h *handover) mayHaveLost(id ID, now time.Time, kept time.Duration) bool {
	for _, l := range h.losses {
		if now.Before(l.at.Add(kept)) && l.affects(id) {
			return true
		}
	}
	return false
}

// expireLosses drops losses that are older than any record can be.
func (h *handover) expireLosses(now time.Time, kept time.Duration) {
	h.losses = slices.DeleteFunc(h.losses, func(l loss) bool { return !now.Before(l.at.Add(kept)) })
}

// knownHashes returns what this host need not be told again.
func (h *handover) knownHashes() []setHash {
	var known []setHash
	for _, set := range h.pastSets {
		known = append(known, set.hash)
	}
	for _, l := range h.losses {
		known = append(known, l.hash())
	}
	return known
}
