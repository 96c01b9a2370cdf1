package registry

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/bilberryline/bilberryline/internal/event"
	"github.com/bilberryline/bilberryline/internal/registry/registrypb"
)

// minFollowers is the number of followers that a host of a small deployment serves before it passes others on.
const minFollowers = 12

// maxFollowers returns the number of followers that a host serves before it passes others on, in a deployment of the given
// number of hosts.
func maxFollowers(hosts int) int { return max(minFollowers, 2*int(math.Sqrt(float64(hosts)))) }

// redirectError reports that a host passes its follower on to another one.
type redirectError struct{ to Host }

// Error implements error.
func (e *redirectError) Error() string { return "the host passes this one on to " + e.to.ID }

// redirect returns the host that a new follower is to follow in place of this one, or false if this host serves it, as it
// does the relays of each region. The other followers of another region are passed on to those of them that are served
// already. So the state crosses to a region few times, also while the hosts don't know of each other yet.
func (r *Registry) redirect(req *registrypb.Follow) (Host, bool) {
	if req.Self == nil || req.NoRedirect {
		return Host{}, false
	}
	follower := HostFromProto(req.Self)
	isRelay := slices.Contains(r.regionRelaysWith(follower), follower.ID)
	r.mu.Lock()
	defer r.mu.Unlock()
	var served, ofRegion []Host
	for sub := range r.subscribers {
		if sub.host.ID == "" || sub.host.ID == follower.ID || !sub.started {
			continue
		}
		served = append(served, sub.host)
		if sub.host.Region == follower.Region {
			ofRegion = append(ofRegion, sub.host)
		}
	}
	crosses := follower.Region != r.cfg.Self.Region
	full := len(r.subscribers) >= maxFollowers(len(r.hosts))
	switch {
	case isRelay:
		return Host{}, false
	case crosses && len(ofRegion) >= relaysPerRegion, !crosses && full && len(ofRegion) > 0:
		return ofRegion[rand.IntN(len(ofRegion))], true
	case !crosses && full && len(served) > 0:
		return served[rand.IntN(len(served))], true
	}
	return Host{}, false
}

// regionRelaysWith returns the relays of the region of a host, which may be missing from the list of hosts.
func (r *Registry) regionRelaysWith(h Host) []string {
	hosts := r.View().Hosts
	ranking := rank(hosts, h)
	region := slices.DeleteFunc(ranking, func(id string) bool { return id != h.ID && hosts[id].Region != h.Region })
	return region[:min(len(region), relaysPerRegion)]
}

// followRedirect follows the host to which another one has passed this host on, once it can be followed. If that fails, the
// other one is asked not to pass this host on again.
func (r *Registry) followRedirect(ctx context.Context, from string, to Host) {
	r.mu.Lock()
	r.learned[to.ID] = to.Address
	r.mu.Unlock()
	for waited := r.cfg.Clock.Now(); r.cfg.Clock.Now().Sub(waited) < r.timing.queryTimeout; {
		if r.canRelay(ctx, to.ID) {
			r.followRelay(ctx, to.ID)
			return
		}
		if r.sleep(ctx, initialPollInterval) != nil {
			return
		}
	}
	r.cfg.Events.Record(event.RegistrySourceLost, event.Fields{Peer: to.ID, Detail: fmt.Sprintf("not followed in place of %s: it has no state yet or doesn't answer", from)})
	r.mu.Lock()
	r.noRedirect[from] = r.cfg.Clock.Now().Add(r.timing.sourceCooldown)
	r.mu.Unlock()
}

// refusesRedirect reports whether a host is asked to serve this one itself, because the host that it had named couldn't be
// followed.
func (r *Registry) refusesRedirect(from string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cfg.Clock.Now().Before(r.noRedirect[from])
}
