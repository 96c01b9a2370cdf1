package slots

import (
	"sync"

	"github.com/bilberryline/bilberryline/internal/config"
	"github.com/bilberryline/bilberryline/internal/member"
	"github.com/bilberryline/bilberryline/internal/rendezvous"
)

// ownerCache caches the owner of each group for one version of the membership view.
type ownerCache struct {
	mu      sync.Mutex
	version uint64
	owners  map[Key]string
}

func newOwnerCache() *ownerCache {
	return &ownerCache{owners: make(map[Key]string)}
}

// get returns the cached owner of the group, or caches the result of compute.
func (c *ownerCache) get(key Key, view *member.View, compute func() string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.version != view.Version {
		c.version = view.Version
		clear(c.owners)
	}
	owner, ok := c.owners[key]
	if !ok {
		owner = compute()
		c.owners[key] = owner
	}
	return owner
}

// Owner returns the id of the host that owns the group: the first by rendezvous rank among the alive hosts of the
// group's site, of its region if the site has none, or of all regions.
func (m *Manager) Owner(key Key) string {
	view := m.cfg.View()
	return m.owners.get(key, view, func() string {
		region := regionOf(m.snapshot(), key.Site)
		return rendezvous.Owner(key.String(), ownerCandidates(view, key.Site, region))
	})
}

// ownerCandidates returns the hosts that the owner of a group in the site is chosen from. Without any alive host it
// returns the local host.
func ownerCandidates(view *member.View, site, region string) []string {
	var inSite, inRegion, all []string
	for _, mb := range view.Members {
		if mb.State != member.Alive {
			continue
		}
		all = append(all, mb.ID)
		if mb.Region == region {
			inRegion = append(inRegion, mb.ID)
		}
		if mb.Site == site {
			inSite = append(inSite, mb.ID)
		}
	}
	switch {
	case len(inSite) > 0:
		return inSite
	case len(inRegion) > 0:
		return inRegion
	case len(all) > 0:
		return all
	}
	return []string{view.Self}
}

// regionOf returns the name of the region that holds the site, or the empty string.
func regionOf(snap *config.Snapshot, site string) string {
	for name, region := range snap.Regions {
		for _, s := range region.Sites {
			if s == site {
				return name
			}
		}
	}
	return ""
}
