package ctl

import (
	"maps"
	"slices"

	"github.com/bilberryline/bilberryline/internal/config"
)

// loadTree reads the configuration in folder and compiles it for each site.
func loadTree(folder string) (*config.Tree, map[string]*config.Snapshot, error) {
	tree, err := config.ReadTree(folder)
	if err != nil {
		return nil, nil, err
	}
	snapshots, err := tree.CompileAll()
	return tree, snapshots, err
}

func sortedSites(snapshots map[string]*config.Snapshot) []string {
	return slices.Sorted(maps.Keys(snapshots))
}

// siteLabel returns the name of a site for output. A declaration without data centres has a site with an empty name.
func siteLabel(site string) string {
	if site == "" {
		return "(base)"
	}
	return site
}
