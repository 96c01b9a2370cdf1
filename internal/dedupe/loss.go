package dedupe

import (
	"slices"
	"time"
)

// loss describes hosts that were lost before they handed over their records. It affects the keys
// whose holders are all among the lost hosts.
type loss struct {
	before    hostSet   // the set that the lost hosts belonged to
	survivors hostSet   // hosts that handed over their records
	at        time.Time // when the loss was detected
	allKeys   bool      // every key of the region is affected; before and survivors are not set
}

// hash identifies the loss in messages.
func (l loss) hash() setHash {
	h := hashHosts(slices.Concat(l.before.hosts, l.survivors.hosts))
	if l.allKeys {
		h[0] ^= 1
	}
	return h
}

// affects reports whether the records of a key may have been lost.
func (l loss) affects(id ID) bool {
	if l.allKeys {
		return true
	}
	for _, h := range l.before.holders(id) {
		if l.survivors.has(h) {
			return false
		}
	}
	return true
}

// affectsAny reports whether the loss can affect any key: all holders of a key must be lost, and a
// key has two holders where the set has at least two hosts.
func (l loss) affectsAny() bool {
	if l.allKeys {
		return true
	}
	lost := 0
	for _, h := range l.before.hosts {
		if !l.survivors.has(h) {
			lost++
		}
	}
	return lost >= min(2, len(l.before.hosts)) && lost > 0
}
