package quarantine

import "time"

// permit is the owner's record of a granted Permit.
type permit struct {
	holder    string // id of the host that holds it
	serial    uint64 // unique per holder
	expiresAt time.Time
}

// permits holds the permits that this host issued, at most one valid permit per request.
type permits map[Fingerprint]permit

// acquire grants or renews the requested permit unless another one is valid. It reports whether it did.
func (p permits) acquire(fp Fingerprint, requested permit, now time.Time) bool {
	held, ok := p[fp]
	same := held.holder == requested.holder && held.serial == requested.serial
	if ok && !same && now.Before(held.expiresAt) {
		return false
	}
	p[fp] = requested
	return true
}

func (p permits) release(fp Fingerprint, holder string, serial uint64) {
	held, ok := p[fp]
	if ok && held.holder == holder && held.serial == serial {
		delete(p, fp)
	}
}

func (p permits) expire(now time.Time) {
	for fp, held := range p {
		if !now.Before(held.expiresAt) {
			delete(p, fp)
		}
	}
}
