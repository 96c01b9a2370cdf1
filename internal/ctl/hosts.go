package ctl

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"
)

// States of a host in the output of status.
const (
	stateOK          = "ok"
	stateLags        = "lags"
	stateUnreachable = "unreachable"
)

// Member states in which a host is not expected to follow.
const (
	memberLeaving = "leaving"
	memberDead    = "dead"
)

// surveyed is one host in the output of status.
type surveyed struct {
	Host     string `json:"host"`
	Address  string `json:"address"`
	Site     string `json:"site,omitempty"`
	Region   string `json:"region,omitempty"`
	Version  string `json:"version,omitempty"`
	Revision uint64 `json:"revision"`
	Hash     string `json:"hash,omitempty"`
	// InForceSeconds is the time since the revision was put in force.
	InForceSeconds float64 `json:"in_force_seconds"`
	State          string  `json:"state"`
	Error          string  `json:"error,omitempty"`
}

// surveyHosts asks the given hosts and all members that they know, each once.
func surveyHosts(ctx context.Context, addresses []string, now time.Time) []*surveyed {
	found := map[string]*surveyed{}
	members := map[string]memberStatus{}
	for round := addresses; len(round) > 0; {
		statuses := askAll(ctx, round, found, now)
		round = nil
		for _, s := range statuses {
			for _, m := range s.Members {
				members[m.AdminAddress] = m
				if _, known := found[m.AdminAddress]; known || m.AdminAddress == "" || m.State == memberLeaving || m.State == memberDead {
					continue
				}
				if !slices.Contains(round, m.AdminAddress) {
					round = append(round, m.AdminAddress)
				}
			}
		}
	}
	return place(found, members)
}

// askAll asks addresses at once and enters what they answer into found.
func askAll(ctx context.Context, addresses []string, found map[string]*surveyed, now time.Time) []*hostStatus {
	var mu sync.Mutex
	var group sync.WaitGroup
	var statuses []*hostStatus
	for _, address := range addresses {
		group.Go(func() {
			status, err := askStatus(ctx, address)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				found[address] = &surveyed{Address: address, State: stateUnreachable, Error: err.Error()}
				return
			}
			found[address] = survey(address, status, now)
			statuses = append(statuses, status)
		})
	}
	group.Wait()
	return statuses
}

func survey(address string, s *hostStatus, now time.Time) *surveyed {
	h := &surveyed{Host: s.Host, Address: address, Version: s.Version, Revision: s.Revision, Hash: s.Hash, State: stateOK}
	if since, err := time.Parse(time.RFC3339, s.InForceSince); err == nil {
		h.InForceSeconds = now.Sub(since).Seconds()
	}
	return h
}

// place fills in what the members tell of each host and orders the hosts.
func place(found map[string]*surveyed, members map[string]memberStatus) []*surveyed {
	hosts := make([]*surveyed, 0, len(found))
	for address, h := range found {
		m := members[address]
		h.Host = cmp.Or(h.Host, m.ID)
		h.Site, h.Region = m.Site, m.Region
		hosts = append(hosts, h)
	}
	slices.SortFunc(hosts, func(a, b *surveyed) int {
		return cmp.Or(cmp.Compare(a.Site, b.Site), cmp.Compare(a.Host, b.Host), cmp.Compare(a.Address, b.Address))
	})
	return dropTwins(hosts)
}

// dropTwins drops hosts that were reached under two addresses.
func dropTwins(hosts []*surveyed) []*surveyed {
	return slices.CompactFunc(hosts, func(a, b *surveyed) bool { return a.Host != "" && a.Host == b.Host })
}

// mark sets the state of hosts below the revision and returns their names.
func mark(hosts []*surveyed, revision uint64) (behind []string) {
	for _, h := range hosts {
		if h.State == stateOK && h.Revision < revision {
			h.State = stateLags
		}
		if h.State != stateOK {
			behind = append(behind, cmp.Or(h.Host, h.Address))
		}
	}
	return behind
}
