package dedupe

import (
	"slices"
	"time"
)

// maxPastSets and maxLosses bound the past sets and losses that are kept. If one of them is exceeded,
// a loss that affects every key of the region is recorded instead.
const (
	maxPastSets = 32
	maxLosses   = 16
)

// handover determines for which keys a host may record new runs while the region's hosts change. It
// has no clock and no lock: callers pass the current time and hold Deduplicator.mu.
//
// A host is ready for a set once each other host of the set, and each leaving host, has confirmed
// that it uses the same set and has handed over its records. After one of two hosts has confirmed the
// other's set, neither of them records a key under an earlier set. Until it is ready, a host records
// only keys whose holders are the same in all sets since the last set that it was ready for.
type handover struct {
	self        Host
	set         hostSet
	leaving     []Host
	pastSets    []hostSet // sets since the last ready one, which comes first, without the current one
	losses      []loss
	round       uint64 // incremented whenever all hosts must confirm anew
	ready       bool
	interrupted bool   // the host was isolated or paused since it was last ready, so pastSets is incomplete
	warm        bool   // the host knows the records of its region
	pending     []Host // hosts that have not confirmed the round
	confirmed   []Host // hosts that have confirmed the round
}

// setHosts starts a round for a new set of hosts and the hosts that are leaving it.
func (h *handover) setHosts(set hostSet, leaving []Host) {
	if set.hash == h.set.hash {
		h.updateLeaving(leaving)
		return
	}
	if len(h.set.hosts) > 0 {
		h.addPastSet(h.set)
	}
	h.set = set
	h.leaving = leaving
	h.startRound()
}

// updateLeaving stops waiting for leaving hosts that are gone.
func (h *handover) updateLeaving(leaving []Host) {
	gone := func(host Host) bool {
		return slices.Contains(h.leaving, host) && !slices.Contains(leaving, host)
	}
	h.pending = slices.DeleteFunc(h.pending, gone)
	h.leaving = leaving
}

// interrupt starts a new round after the host was isolated or paused.
func (h *handover) interrupt() {
	h.interrupted = true
	h.startRound()
}

// startRound makes all other hosts pending.
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

// addPastSet adds a set to the past sets, without duplicates.
func (h *handover) addPastSet(set hostSet) {
	known := func(s hostSet) bool { return s.hash == set.hash }
	if slices.ContainsFunc(h.pastSets, known) {
		return
	}
	h.pastSets = append(h.pastSets, set)
}

// confirm records that a host has handed over its records, past sets and losses in a round. warm is
// true if that host knows the records of its region.
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

// tryComplete makes the host ready if it is warm and no host is pending. It returns true if this call
// made the host ready.
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

// addLoss adds a loss that can affect keys, without duplicates.
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

// allowsNewRuns reports whether new runs of a key may be recorded, that is, whether no record of the
// key can be missing here because of the handover.
func (h *handover) allowsNewRuns(id ID) bool {
	if h.ready {
		return true
	}
	if h.interrupted || len(h.pastSets) == 0 || len(h.pastSets) > maxPastSets {
		return false
	}
	current := h.set.holders(id)
	for _, set := range h.pastSets {
		if !set.holders(id).equal(current) {
			return false
		}
	}
	return true
}

// mayHaveLost reports whether a record of the key that is kept for the retention time may have been lost.
func (h *handover) mayHaveLost(id ID, now time.Time, retention time.Duration) bool {
	for _, l := range h.losses {
		if now.Before(l.at.Add(retention)) && l.affects(id) {
			return true
		}
	}
	return false
}

// expireLosses deletes the losses that are older than any record. Records are kept for at most the
// retention time.
func (h *handover) expireLosses(now time.Time, retention time.Duration) {
	h.losses = slices.DeleteFunc(h.losses, func(l loss) bool { return !now.Before(l.at.Add(retention)) })
}

// knownHashes returns the hashes of the past sets and losses that other hosts need not send again.
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
