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

// Member states in which a host is not expected to have the newest revision.
const (
	memberLeaving = "leaving"
	memberDead    = "dead"
)

// hostResult is one host in the output of status.
type hostResult struct {
	Host     string `json:"host"`
	Address  string `json:"address"`
	Site     string `json:"site,omitempty"`
	Region   string `json:"region,omitempty"`
	Version  string `json:"version,omitempty"`
	Revision uint64 `json:"revision"`
	Hash     string `json:"hash,omitempty"`
	// InForceSeconds is the time since the revision was put in force, in seconds.
	InForceSeconds float64 `json:"in_force_seconds"`
	State          string  `json:"state"`
	Error          string  `json:"error,omitempty"`
}

// queryHosts requests the status of the given hosts and of all members that they know, directly or indirectly. It
// skips members that are leaving or dead.
func queryHosts(ctx context.Context, addresses []string, now time.Time) []*hostResult {
	results := map[string]*hostResult{}  // by admin address
	members := map[string]memberStatus{} // by admin address
	for round := addresses; len(round) > 0; {
		statuses := queryAll(ctx, round, results, now)
		round = nil
		for _, s := range statuses {
			for _, m := range s.Members {
				members[m.AdminAddress] = m
				if _, known := results[m.AdminAddress]; known || m.AdminAddress == "" || m.State == memberLeaving || m.State == memberDead {
					continue
				}
				if !slices.Contains(round, m.AdminAddress) {
					round = append(round, m.AdminAddress)
				}
			}
		}
	}
	return mergeMembers(results, members)
}

// queryAll requests the status of all addresses in parallel. It stores each outcome in results under its
// address and returns the statuses of the reachable hosts.
func queryAll(ctx context.Context, addresses []string, results map[string]*hostResult, now time.Time) []*hostStatus {
	var mu sync.Mutex
	var group sync.WaitGroup
	var statuses []*hostStatus
	for _, address := range addresses {
		group.Go(func() {
			status, err := fetchStatus(ctx, address)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				results[address] = &hostResult{Address: address, State: stateUnreachable, Error: err.Error()}
				return
			}
			results[address] = newHostResult(address, status, now)
			statuses = append(statuses, status)
		})
	}
	group.Wait()
	return statuses
}

func newHostResult(address string, s *hostStatus, now time.Time) *hostResult {
	h := &hostResult{Host: s.Host, Address: address, Version: s.Version, Revision: s.Revision, Hash: s.Hash, State: stateOK}
	if since, err := time.Parse(time.RFC3339, s.InForceSince); err == nil {
		h.InForceSeconds = now.Sub(since).Seconds()
	}
	return h
}

// mergeMembers adds the site and region of each host, and its ID if it was unreachable, from the membership. It
// returns the hosts ordered by site, ID and address, without duplicates.
func mergeMembers(results map[string]*hostResult, members map[string]memberStatus) []*hostResult {
	hosts := make([]*hostResult, 0, len(results))
	for address, h := range results {
		m := members[address]
		h.Host = cmp.Or(h.Host, m.ID)
		h.Site, h.Region = m.Site, m.Region
		hosts = append(hosts, h)
	}
	slices.SortFunc(hosts, func(a, b *hostResult) int {
		return cmp.Or(cmp.Compare(a.Site, b.Site), cmp.Compare(a.Host, b.Host), cmp.Compare(a.Address, b.Address))
	})
	return removeDuplicates(hosts)
}

// removeDuplicates removes hosts that were reached at more than one address.
func removeDuplicates(hosts []*hostResult) []*hostResult {
	return slices.CompactFunc(hosts, func(a, b *hostResult) bool { return a.Host != "" && a.Host == b.Host })
}

// markLagging sets the state of the reachable hosts below revision to lags. It returns the names of these hosts and
// of the unreachable ones.
func markLagging(hosts []*hostResult, revision uint64) (behind []string) {
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
