package registry

import (
	"context"
	"slices"
)

// relaysPerSite is the number of hosts of a data centre that follow a host that hears from the store; the
// others follow one of them. What crosses between data centres, and what one host sends, then doesn't grow
// with the number of hosts. Two, so that the loss of one costs no more than a question.
const relaysPerSite = 2

// relays returns the trusted relays of this host's data centre, none when it is one of them.
func (r *Registry) relays() []string {
	hosts := r.View().Hosts
	here := slices.DeleteFunc(r.ranking(), func(id string) bool {
		return id != r.cfg.Self.ID && hosts[id].Site != r.cfg.Self.Site
	})
	first := here[:min(len(here), relaysPerSite)]
	if slices.Contains(first, r.cfg.Self.ID) {
		return nil
	}
	return r.excludeCoolingDown(first)
}

// findRelay returns a relay that this host may follow, or the empty string.
func (r *Registry) findRelay(ctx context.Context) string {
	return r.findAny(ctx, r.relays(), r.canRelay)
}
