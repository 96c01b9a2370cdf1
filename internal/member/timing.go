package member

import "time"

// Timing holds the intervals of the protocol. Zero fields take the defaults. The age of a member is the time since
// it was last known to run.
//
// The intervals ensure that an isolated host stops keyed work before other hosts take it over. Suppose
// that host A loses the connection to its region at time t:
//
//   - The times at which A knows other members to have run are never later than A's own send times
//     (see ages.go). IsolatedSince therefore reports true at A from t+IsolatedAfter on.
//   - Another host B declares A dead only when A is not known to have run within DeadAfter, and when a
//     probe that B itself sent to A at least IsolatedAfter+DeadMargin ago failed, with no response
//     from A since. A probe that was sent and answered before t would not have failed. B therefore
//     sent it no earlier than one round trip before t, and declares A dead no earlier than
//     t + IsolatedAfter + DeadMargin - one round trip.
//   - DeadMargin covers the round trip and the drift between the two clocks over a few seconds.
//   - A pause of A does not matter, because IsolatedSince is computed from the time of the call. After
//     a pause of B, B discards its failed probes.
//
// When connectivity is intermittent, B's failed probes may have causes on both sides. Three rules cover
// this case:
//
//   - A host that is isolated, or was until recently, declares nobody dead.
//   - A host counts as connected only when three members, or fewer that make a majority with it,
//     answered it directly within IsolatedAfter.
//   - B declares A dead only when the same number of members answered B directly within the last second,
//     and neither they nor B have answered A within IsolatedAfter+DeadMargin. In a region of up to seven
//     hosts, one of the members that answered A is B or one of those that answered B. In larger regions
//     the rule depends on the spread of ages, and holds with high probability but not with certainty.
//
// A host that learns that it was declared dead refutes the declaration and reports isolation for another
// IsolatedAfter, in which the refutation spreads. Each host that knows of the declaration, whether it
// accepts it or not, includes it in its requests and responses to that host.
type Timing struct {
	// ProbeInterval is the time between probes. Default 200 ms.
	ProbeInterval time.Duration
	// ProbeTimeout bounds a probe inside the region. Default 400 ms.
	ProbeTimeout time.Duration
	// RemoteTimeout bounds an exchange with another region. Default 1.5 s.
	RemoteTimeout time.Duration
	// StaleAfter is the age at which a member is probed ahead of its place in the round. Default 1.5 s.
	StaleAfter time.Duration
	// IsolatedAfter is the age at which a member no longer counts as reachable. Default 2 s.
	IsolatedAfter time.Duration
	// DeadAfter is the age at which a member may be declared dead. Default 4 s.
	DeadAfter time.Duration
	// DeadMargin is added to IsolatedAfter to get the required age of the failed probe. Default 400 ms.
	DeadMargin time.Duration
	// RemoteSuspectAfter is the time without any response from another region after which its members
	// are suspect. Default 10 s.
	RemoteSuspectAfter time.Duration
	// GoneAfter is the time for which a silent member must be missing from the host list before it is
	// confirmed gone. Default 5 s.
	GoneAfter time.Duration
	// MaxListLag replaces GoneAfter for a silent member that was never in the host list, because the
	// list may lag behind. Default 2 min.
	MaxListLag time.Duration
	// TombstoneTTL is the minimum time for which records of dead and departed hosts are kept. It exceeds the
	// longest expected split between regions. Default 2 h.
	TombstoneTTL time.Duration
	// PauseThreshold is the minimum time between two ticks that is reported as a pause. Default 1 s.
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
