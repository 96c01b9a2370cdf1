package capacity

import "fmt"

// failureRows returns the load that each kind of failure moves to the remaining hosts.
func failureRows(fl Fleet) []row {
	perHost := callsPerSecond / fl.Hosts
	rack := max(1, fl.PerSite/racksPerSite)
	return []row{
		movedLoadRow(fl, "an entry host", 1, fmt.Sprintf("%s slot groups get another owner", formatNumber(fl.groupsPerHost()))),
		movedLoadRow(fl, "a rack", rack, fmt.Sprintf("a quarter of a data centre's entry hosts, %s targets", formatNumber(targets/sites/racksPerSite))),
		movedLoadRow(fl, "a data centre", fl.PerSite, fmt.Sprintf("%s targets and all its slot groups", formatNumber(targets/sites))),
		movedLoadRow(fl, "a region, if its callers go elsewhere", fl.Hosts/regions, fmt.Sprintf("%s targets", formatNumber(targets/regions))),
		{"regions apart for an hour", withUnit(0, "calls/s"), "", fmt.Sprintf("%s changes wait for hosts that reach neither the store nor a host with them; %s calls/s stay in each region", formatNumber(changesPerDay/24.0), formatNumber(perHost*fl.PerRegion))},
	}
}

func movedLoadRow(fl Fleet, failed string, hosts float64, source string) row {
	busy := fl.utilizationAfterLoss(hosts / fl.Hosts)
	return row{failed, withUnit(callsPerSecond/fl.Hosts*hosts, "calls/s"), fmt.Sprintf("others %s %% busy", formatNumber(percent*busy)), source}
}

// growthRows returns the costs of the current implementation that grow with the size of the fleet.
func growthRows(fl Fleet) []row {
	region := fl.PerRegion
	changes := 2 * fl.hostRestartsPerDay() / regions
	sameRegionAge := region / (fillPollsPerSecond * (1 - otherRegionPollShare))
	otherRegionAge := (fl.Hosts - region) / (fillPollsPerSecond * otherRegionPollShare)
	drains := restartsPerDay * targets / (targets + fl.Hosts)
	return []row{
		{"pulls of idempotency records a membership change", formatNumber(region * (region - 1)), "", "each of the " + formatNumber(region) + " hosts of a region asks each other one"},
		{"the same, a host and day", formatNumber(changes * (region - 1)), "", formatNumber(changes) + " joins and leaves a region and day"},
		{"messages a drained target", formatNumber(fl.Hosts - 1), "", "the host that finds it tells all members"},
		{"the same, a host and day, received", formatNumber(drains), "", "targets restarted or replaced a day"},
		{"messages when a data centre's targets all drain", formatNumber(targets / sites * (fl.Hosts - 1)), "", "targets of a data centre × other hosts"},
		{"messages a quarantine report", formatNumber(fl.Hosts - 1), "", "told to all members"},
		{"greatest age of a fill, same region", withUnit(sameRegionAge, "s"), "", fmt.Sprintf("hosts of a region / (%d × %v polls/s)", fillPollsPerSecond, 1-otherRegionPollShare)},
		{"greatest age of a fill, other regions", withUnit(otherRegionAge, "s"), "", fmt.Sprintf("hosts of other regions / (%d × %v polls/s)", fillPollsPerSecond, otherRegionPollShare)},
		{"owner look-ups when fills are polled", withUnit(fillPollsPerSecond*targets*maxServicesPerPoll/services, "/s"), "", fmt.Sprintf("%d/s × %d targets × %d of %d services, from a cache", fillPollsPerSecond, targets, maxServicesPerPoll, services)},
		{"rankings after a change of the membership, a host, at most", formatNumber(services * sites), "", "slot groups, each over " + formatNumber(fl.PerSite) + " hosts"},
	}
}
