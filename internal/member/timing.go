package member

import "time"

// Timing holds the intervals of the protocol. Zero fields take the defaults.
//
// Why a host that is cut off stops keyed work before others take over: let a host A lose its region
// at time t. All that A knows of the others is bounded by its own send times (see ages.go), so
// from t+IsolatedAfter on IsolatedSince reports true at A. Another host B declares A dead only when
// nothing newer than DeadAfter is known of A and a probe that B itself sent to A at least
// IsolatedAfter+DeadMargin ago failed, with no answer since. That probe would have been answered had
// it been sent and answered before t, so B sent it no earlier than one round trip before t and
// declares A dead no earlier than t + IsolatedAfter + DeadMargin - one round trip. DeadMargin covers
// the round trip and the drift of the two clocks over a few seconds. A pause of A changes nothing:
// IsolatedSince is computed from the time of the call. A pause of B makes B forget its failed probes.
//
// When connections come and go, B's failed probes may have causes on both sides. Three rules cover
// this. A host that is or lately was isolated declares nobody dead. A host counts as in touch only
// when three members, or as many as make a majority with it, answered it directly within
// IsolatedAfter. B declares A dead only when as many members answered B directly within the last
// second and none of them, nor B, has answered A within IsolatedAfter+DeadMargin. In a region of up to
// seven hosts one of A's members is B or one of B's. In larger regions this rests on the spread of ages
// and is likely, not certain.
//
// A host that learns of its own death refutes it and reports isolation for another IsolatedAfter, in
// which the refutation spreads. Each host that knows of the declaration, whether it believes it or not,
// puts it into its requests and answers to that host.
type Timing struct {
	// ProbeInterval is the time between probes. Default 200 ms.
	ProbeInterval time.Duration
	// ProbeTimeout bounds a probe inside the region. Default 400 ms.
	ProbeTimeout time.Duration
	// RemoteTimeout bounds an exchange with another region. Default 1.5 s.
	RemoteTimeout time.Duration
	// StaleAfter is the age at which a member is probed out of turn. Default 1.5 s.
	StaleAfter time.Duration
	// IsolatedAfter is the age at which a member no longer counts as heard. Default 2 s.
	IsolatedAfter time.Duration
	// DeadAfter is the silence after which a member may be declared dead. Default 4 s.
	DeadAfter time.Duration
	// DeadMargin is added to IsolatedAfter for the age of the failed probe. Default 400 ms.
	DeadMargin time.Duration
	// RemoteSuspectAfter is the time without any answer from another region after which its members are
	// suspect. Default 10 s.
	RemoteSuspectAfter time.Duration
	// GoneAfter is the time that a silent member must be missing from the host list before it is
	// dropped. Default 5 s.
	GoneAfter time.Duration
	// MaxListLag is the time for which a silent member that the host list never had may be missing from
	// it. Default 2 min.
	MaxListLag time.Duration
	// TombstoneTTL is the time for which records of dead and departed hosts are kept. It exceeds the
	// longest expected split between regions. Default 2 h.
	TombstoneTTL time.Duration
	// PauseThreshold is the time between two ticks that is reported as a pause. Default 1 s.
	PauseThreshold time.Duration
}

func (t *Timing) setDefaults() {
	setDuration(&t.ProbeInterval, 200*time.Millisecond)
	setDuration(&t.ProbeTimeout, 400*time.Millisecond)
	setDuration(&t.RemoteTimeout, 1500*time.Millisecond)
	setDuration(&t.StaleAfter, 1500*time.Millisecond)
	setDuration(&t.IsolatedAfter, 2*time.Second)
	setDuration(&t.DeadAfter, 4*time.Second)
	setDuration(&t.DeadMargin, 400*time.Millisecond)
	setDuration(&t.RemoteSuspectAfter, 10*time.Second)
	setDuration(&t.GoneAfter, 5*time.Second)
	setDuration(&t.MaxListLag, 2*time.Minute)
	setDuration(&t.TombstoneTTL, 2*time.Hour)
	setDuration(&t.PauseThreshold, time.Second)
}

func setDuration(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}
