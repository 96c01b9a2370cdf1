package registry

import (
	"context"
	"math"
	"slices"

	"github.com/bilberryline/bilberryline/internal/rendezvous"
)

const (
	// relaysPerRegion is the number of hosts of a region that follow a host that watches the store. The state so crosses
	// to another region that often. With two relays, the loss of one costs no more than a status query.
	relaysPerRegion = 2
	// minRelaysPerSite is the number of hosts of a small data centre that follow the relays of its region.
	minRelaysPerSite = 2
	// maxRelayHops is the number of hosts between a relay and the store, at most: a relay of a data centre follows a relay
	// of its region, which follows a host that watches the store.
	maxRelayHops = 2
	// preferredRelays is the number of relays that a host queries before all others.
	preferredRelays = 2
)

// relaysOfSite returns the number of relays of a data centre with the given number of hosts. A relay serves as many hosts
// as there are relays, so that neither a relay of the data centre nor one of the region serves many.
func relaysOfSite(hosts int) int { return max(minRelaysPerSite, int(math.Sqrt(float64(hosts)))) }

// relays returns the hosts that this one is to follow, in its order of preference, without those in cooldown: the relays of
// its region if it is a relay of its data centre, else the relays of the data centre, which are other hosts than those of
// the region. It returns nil when this host is a relay of its region itself.
func (r *Registry) relays() []string {
	hosts := r.View().Hosts
	ranking := r.ranking()
	region := r.availableHosts(ranking, func(id string) bool { return hosts[id].Region == r.cfg.Self.Region })
	regionRelays := region[:min(len(region), relaysPerRegion)]
	if slices.Contains(regionRelays, r.cfg.Self.ID) {
		return nil
	}
	site := r.availableHosts(ranking, func(id string) bool { return hosts[id].Site == r.cfg.Self.Site })
	count := relaysOfSite(len(site))
	site = slices.DeleteFunc(site, func(id string) bool { return slices.Contains(regionRelays, id) })
	siteRelays := site[:min(len(site), count)]
	if slices.Contains(siteRelays, r.cfg.Self.ID) {
		return regionRelays
	}
	return rendezvous.Rank(r.cfg.Self.ID, siteRelays)
}

// availableHosts returns this host and the others in a place that are not in cooldown, in the order of the ranking.
func (r *Registry) availableHosts(ranking []string, inPlace func(id string) bool) []string {
	local := slices.DeleteFunc(slices.Clone(ranking), func(id string) bool { return id != r.cfg.Self.ID && !inPlace(id) })
	return r.excludeCoolingDown(local)
}

// findRelay returns a relay that this host can follow, or the empty string when there is none.
func (r *Registry) findRelay(ctx context.Context) string {
	relays := r.relays()
	preferred := min(len(relays), preferredRelays)
	if id := r.findAny(ctx, relays[:preferred], r.canRelay); id != "" {
		return id
	}
	return r.findAny(ctx, relays[preferred:], r.canRelay)
}
