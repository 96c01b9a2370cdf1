package coldstart

import "time"

const (
	// MaxSilence is how long a host relies on what it knows of a warm server after the last response. A server that was
	// silent for longer may have restarted.
	MaxSilence = 500 * time.Millisecond
	// MaxVerifiedAge is how long a host relies on a response of the health path, however often the server responds to
	// requests since. Only the health path shows that a server turned cold without an interruption.
	MaxVerifiedAge = 2 * time.Second
)

// Status is what a host knows of a server.
type Status uint8

const (
	// Unverified means that the server may be cold. It gets a probe, and no request before.
	Unverified Status = iota
	// Cold means that the server gets requests from one host only.
	Cold
	// Warm means that the server gets requests from all hosts.
	Warm
)

var statusNames = [...]string{"not verified", "cold", "warm"}

// String returns the status for logs and explanations.
func (s Status) String() string { return statusNames[s] }

// Knowledge is what one host knows of one incarnation of a server. The zero value knows nothing. It is not safe for
// concurrent use.
type Knowledge struct {
	verified   bool
	verifiedAt time.Time // when the request to the health path was sent that verified the server
	heardAt    time.Time // when the server was last known to be the verified one
	doubtedAt  time.Time
	coldUntil  time.Time
}

// Verify records a response of the server's own health path: the request was sent at sentAt, and the server stays cold
// for warmUp from now on. It reports whether the server was warm by the response before and is cold now, or the reverse.
// The response may have waited for a paused host, so that it proves nothing about the time after sentAt.
func (k *Knowledge) Verify(sentAt, now time.Time, warmUp time.Duration) (changed bool) {
	if !k.doubtedAt.IsZero() && !sentAt.After(k.doubtedAt) || sentAt.Before(k.verifiedAt) {
		return false
	}
	wasCold := !k.coldUntil.IsZero()
	k.verified, k.verifiedAt, k.heardAt = true, sentAt, sentAt
	k.coldUntil = time.Time{}
	if warmUp > 0 {
		k.coldUntil = now.Add(warmUp)
	}
	return wasCold != (warmUp > 0)
}

// Heard records a response of any kind. It proves nothing about a server that was silent for too long before.
func (k *Knowledge) Heard(now time.Time) {
	if k.verified && now.Sub(k.heardAt) <= MaxSilence {
		k.heardAt = now
	}
}

// Doubt records that the server may have restarted: it was unreachable, a connection broke, or its data centre was
// evacuated.
func (k *Knowledge) Doubt(now time.Time) {
	k.verified = false
	k.doubtedAt = now
}

// Status returns the status at the given time. announced is the end of the warm-up according to the server's
// registration, or zero.
func (k *Knowledge) Status(now, announced time.Time) Status {
	switch {
	case !k.verified:
		return Unverified
	case now.Before(k.ColdUntil(announced)):
		return Cold
	case now.Sub(k.heardAt) > MaxSilence || now.Sub(k.verifiedAt) > MaxVerifiedAge:
		return Unverified
	}
	return Warm
}

// ColdUntil returns the time until which the server is cold at least, as far as is known. A restart since then could only
// have made it cold for longer.
func (k *Knowledge) ColdUntil(announced time.Time) time.Time {
	if k.coldUntil.After(announced) {
		return k.coldUntil
	}
	return announced
}
