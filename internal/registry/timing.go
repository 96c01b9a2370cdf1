package registry

import "time"

// Default values of Config.
const (
	defaultPropagationLimit    = 2 * time.Second
	defaultTargetHeartbeat     = 1500 * time.Millisecond
	defaultReregistrationLimit = 2 * time.Second
)

// timing holds the intervals and limits that follow from the properties of a deployment.
type timing struct {
	// heartbeat is the longest time between two updates to a follower.
	heartbeat time.Duration
	// updateTimeout is the time without an update after which a follower leaves its source.
	updateTimeout time.Duration
	// staleAfter is the age of a source's last confirmation by the store above which a follower leaves it.
	staleAfter time.Duration
	// regionRelayStaleAfter is the same limit for a followed relay of the region, and relayStaleAfter for one of the data
	// centre. They give the relays time to find another source, which a relay of the region looks for after staleAfter or
	// updateTimeout. The store may serve only hosts behind the relays, so that these must not wait for long.
	regionRelayStaleAfter time.Duration
	relayStaleAfter       time.Duration
	// watchInterval is the shortest time between two calls for changes. Backend servers renew their entries all the
	// time, so a shorter interval would only cause more calls.
	watchInterval time.Duration
	// watchWait is how long the store may hold a call while there is no change (long poll).
	watchWait time.Duration
	// slowCallTimeout bounds a call for changes, in addition to its wait, that counts as failed already. While the store is
	// slow, late changes are the only ones.
	slowCallTimeout time.Duration
	// sourceCooldown is how long a source is skipped after its updates timed out, while another one is available. Packet
	// loss on a link and cut connections last several seconds, and two timeouts in a row take longer than a draining
	// target may stay unknown.
	sourceCooldown time.Duration
	// unresponsiveCooldown is how long a host that didn't answer a query is skipped as a source.
	unresponsiveCooldown time.Duration
	// queryTimeout bounds a status query of another host, and opening a stream to it.
	queryTimeout time.Duration
	// quickQueryTimeout bounds a query that has alternatives: of a relay of the same data centre, or by a host without
	// any state, for which hosts that start at the same time don't answer yet.
	quickQueryTimeout time.Duration
	// searchStagger is the time after which a search for a source no longer waits for the hosts queried so far alone.
	searchStagger time.Duration
	// betterSourceInterval is how often a host looks for a better ranked source than its current one.
	betterSourceInterval time.Duration
	// minOutage is the outage of the store after which entries of healthy targets may have expired: an entry survives
	// two missed renewals.
	minOutage time.Duration
	// removalDelay is how long removals of targets are delayed after the store has recovered.
	removalDelay time.Duration
}

// newTiming returns the timing for a limit within which all hosts must know a change of the store, the interval at which
// targets renew their entries, and the time within which targets register again after an outage of the store.
func newTiming(propagation, targetHeartbeat, reregistration time.Duration) timing {
	heartbeat := propagation * 3 / 20
	return timing{
		heartbeat:             heartbeat,
		updateTimeout:         3 * heartbeat,
		staleAfter:            propagation / 2,
		regionRelayStaleAfter: propagation * 11 / 20,
		relayStaleAfter:       propagation * 13 / 20,
		watchInterval:         propagation / 5,
		watchWait:             propagation / 8,
		slowCallTimeout:       2 * propagation,
		sourceCooldown:        3 * propagation,
		unresponsiveCooldown:  propagation,
		queryTimeout:          propagation / 8,
		quickQueryTimeout:     propagation / 20,
		searchStagger:         propagation / 40,
		betterSourceInterval:  propagation * 3 / 2,
		minOutage:             targetHeartbeat * 5 / 3,
		removalDelay:          reregistration + reregistration/20,
	}
}

// orDefault returns d, or value if d is zero.
func orDefault(d, value time.Duration) time.Duration {
	if d == 0 {
		return value
	}
	return d
}
