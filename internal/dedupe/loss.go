package dedupe

import (
	"slices"
	"time"
)

// loss says that hosts were lost before their records were handed over. It concerns the keys whose
// holders were all among the lost hosts.
type loss struct {
	before    hostSet
	survivors hostSet // hosts that handed their records over
	at        time.Time
	allKeys   bool
}

// hash identifies the loss in messages.
func (l loss) hash() setHash {
	h := hashHosts(slices.Concat(l.before.hosts, l.survivors.hosts))
	if l.allKeys {
		h[0] ^= 1
	}
	return h
}

// affects tells whether the records of a key may have been lost.
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

// affectsAny tells whether any key can be concerned: all the holders of a key must be lost.
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
