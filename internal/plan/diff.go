package plan

import (
	"maps"
	"reflect"
	"slices"

	"github.com/bilberryline/bilberryline/internal/config"
)

// Diff compares the snapshots of all sites before and after a change. A site that is in only one of
// the maps is compared with an empty snapshot.
func Diff(before, after map[string]*config.Snapshot) *Plan {
	p := &Plan{Sites: []SiteGroup{}}
	for _, site := range unionKeys(before, after) {
		changes := diffSite(snapshotOrEmpty(before[site]), snapshotOrEmpty(after[site]))
		if len(changes) == 0 {
			continue
		}
		i := slices.IndexFunc(p.Sites, func(s SiteGroup) bool { return reflect.DeepEqual(s.Changes, changes) })
		if i >= 0 {
			p.Sites[i].Sites = append(p.Sites[i].Sites, site)
			continue
		}
		p.Sites = append(p.Sites, SiteGroup{Sites: []string{site}, Changes: changes})
	}
	return p
}

func snapshotOrEmpty(s *config.Snapshot) *config.Snapshot {
	if s == nil {
		return &config.Snapshot{}
	}
	return s
}

func unionKeys[V any](a, b map[string]V) []string {
	all := maps.Clone(a)
	if all == nil {
		all = map[string]V{}
	}
	maps.Copy(all, b)
	return slices.Sorted(maps.Keys(all))
}

// diffSite returns the changes at one site.
func diffSite(before, after *config.Snapshot) []Change {
	c := &siteDiff{before: before, after: after}
	if !reflect.DeepEqual(before.Regions, after.Regions) && len(before.Regions)+len(after.Regions) > 0 {
		c.add(Change{Kind: RegionsChanged, Text: "regions, data centres or link budgets change"})
	}
	c.diffCallers()
	for _, name := range unionKeys(before.Services, after.Services) {
		c.diffService(name, before.Services[name], after.Services[name])
	}
	return c.changes
}

// siteDiff collects the changes at one site.
type siteDiff struct {
	before  *config.Snapshot
	after   *config.Snapshot
	changes []Change
}

func (c *siteDiff) add(change Change) { c.changes = append(c.changes, change) }
