package quota

import "time"

// VoteLifetime is the time for which a vote holds. A coordinator counts it from when it asked, a voter from when it
// answered, so that a vote ends at the coordinator first.
const VoteLifetime = 1500 * time.Millisecond

// Ballot is the vote of one host for the coordinator of its data centre. It supports one candidate at a time. It is not
// safe for concurrent use.
type Ballot struct {
	candidate  string
	until      time.Time
	blankUntil time.Time
}

// NewBallot returns the ballot of a host that started at a time. Its earlier incarnation may have voted just before.
func NewBallot(startedAt time.Time) *Ballot { return &Ballot{blankUntil: startedAt.Add(VoteLifetime)} }

// Vote reports whether the host supports the candidate for VoteLifetime. Its support is conditional while a vote of its
// earlier incarnation may hold.
func (b *Ballot) Vote(candidate string, now time.Time) (supported, conditional bool) {
	if now.Before(b.until) && b.candidate != candidate {
		return false, false
	}
	b.candidate, b.until = candidate, now.Add(VoteLifetime)
	return true, b.Blank(now)
}

// Blank reports whether a vote of the host's earlier incarnation may hold.
func (b *Ballot) Blank(now time.Time) bool { return now.Before(b.blankUntil) }

// Release ends the vote for a candidate that gives it back.
func (b *Ballot) Release(candidate string) {
	if b.candidate == candidate {
		b.until = time.Time{}
	}
}
