package registry

import (
	"context"
	"slices"
)

// relaysPerSite is the number of hosts per data centre that follow a host that watches the store. The others
// follow one of these relays, so that the traffic between data centres and the traffic sent by one host don't
// grow with the number of hosts. With two relays, the loss of one costs no more than a status query.
const relaysPerSite = 2

// relays returns the relays of this host's data centre that are not in cooldown, or nil when this host is a
// relay itself.
func (r *Registry) relays() []string {
	hosts := r.View().Hosts
	local := slices.DeleteFunc(r.ranking(), func(id string) bool {
		return id != r.cfg.Self.ID && hosts[id].Site != r.cfg.Self.Site
	})
	relays := local[:min(len(local), relaysPerSite)]
	if slices.Contains(relays, r.cfg.Self.ID) {
		return nil
	}
	return r.excludeCoolingDown(relays)
}

// findRelay returns a relay that this host can follow, or the empty string when there is none.
func (r *Registry) findRelay(ctx context.Context) string {
	return r.findAny(ctx, r.relays(), r.canRelay)
}
