package coldstart

import "time"

const (
	// ViewDelay is the time within which a host that is connected learns of a change of the list of hosts.
	ViewDelay = time.Second
	// takeoverDelay is how long a host has been first in the ranking, or running, before it sends to a cold server: until
	// its predecessor knows the new list, and then one second, so that their requests never fall into the same second.
	takeoverDelay = ViewDelay + time.Second
	// reservationTime is how long a server is reserved for a request that was placed there and is about to be sent. A
	// connection to another region opens in less.
	reservationTime = 50 * time.Millisecond
)

// Pacer spaces the requests of one host to one cold server, across all incarnations of the server. The zero value sends
// none. It is not safe for concurrent use.
type Pacer struct {
	first       bool
	allowedFrom time.Time // end of takeoverDelay
	next        time.Time // earliest time of the next request
	reservedTo  time.Time
}

// Permit allows one request to a cold server.
type Permit struct {
	next, before time.Time // Pacer.next after and before the permit
}

// Rank tells whether this host is now the first in the ranking for the server.
func (p *Pacer) Rank(first bool, now time.Time) {
	if first && !p.first {
		p.allowedFrom = now.Add(takeoverDelay)
	}
	p.first = first
}

// First reports whether this host is the one that sends to the server.
func (p *Pacer) First() bool { return p.first }

// FreeAt returns when the next request may be placed at the server. ok is false if this host may send it none.
func (p *Pacer) FreeAt() (at time.Time, ok bool) {
	at = p.allowedFrom
	for _, t := range []time.Time{p.next, p.reservedTo} {
		if t.After(at) {
			at = t
		}
	}
	return at, p.first
}

// Reserve keeps other requests from being placed at the server until the one that was just placed there is sent.
func (p *Pacer) Reserve(now time.Time) { p.reservedTo = now.Add(reservationTime) }

// Take returns the permit for a request that is sent now, or false if it would be sent too early.
func (p *Pacer) Take(now time.Time, spacing time.Duration) (Permit, bool) {
	if !p.first || now.Before(p.allowedFrom) || now.Before(p.next) {
		return Permit{}, false
	}
	permit := Permit{next: now.Add(spacing), before: p.next}
	p.next, p.reservedTo = permit.next, time.Time{}
	return permit, true
}

// GiveBack returns the permit of a request that was not sent, unless another one was taken since.
func (p *Pacer) GiveBack(permit Permit) {
	if p.next.Equal(permit.next) {
		p.next = permit.before
	}
}
