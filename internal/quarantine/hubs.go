package quarantine

import (
	"slices"
	"time"

	"github.com/bilberryline/bilberryline/internal/rendezvous"
)

const (
	// maxHubs is the number of hosts that tell all others of evidence. In a fleet of up to this size, each host tells all
	// others itself. More hubs share the work of a wave among more hosts; fewer hubs lower the sum of their bursts.
	maxHubs = 16
	// hubsKey ranks the hosts for the choice of the hubs.
	hubsKey = "quarantine hubs"
)

// hubsOf returns the hubs among the hosts.
func hubsOf(hosts []string) []string {
	if len(hosts) <= maxHubs {
		return hosts
	}
	return rendezvous.Rank(hubsKey, hosts)[:maxHubs]
}

// smallFleetLocked reports whether each host tells all others itself.
func (t *Tracker) smallFleetLocked() bool { return len(t.members) < maxHubs }

// hubLocked returns the hub for a key. It passes over hubs that didn't answer recently.
func (t *Tracker) hubLocked(key string, now time.Time) string {
	if len(t.skipUntil) == 0 {
		return rendezvous.Owner(key, t.hubs)
	}
	hubs := slices.DeleteFunc(slices.Clone(t.hubs), func(id string) bool { return now.Before(t.skipUntil[id]) })
	if len(hubs) == 0 {
		return t.cfg.Self
	}
	return rendezvous.Owner(key, hubs)
}

// hubForTargetLocked returns the hub that collects the reports on a target and tells all hosts.
func (t *Tracker) hubForTargetLocked(key targetKey, now time.Time) string {
	return t.hubLocked(key.service+"\x00"+key.Name, now)
}

// hubForRequestLocked returns the hub that collects the crashes of a request during a wave.
func (t *Tracker) hubForRequestLocked(fp Fingerprint, now time.Time) string {
	return t.hubLocked(fp.key(), now)
}
