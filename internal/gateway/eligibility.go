package gateway

import (
	"time"

	"github.com/bilberryline/bilberryline/internal/routing"
)

// exclusion is the reason why a server may not get a request, or notExcluded. Reasons that may end sooner have higher
// values, so that the highest one tells when to try again.
type exclusion uint8

const (
	notExcluded exclusion = iota
	// excludedRegion means that the route or the workspace doesn't allow the region of the server.
	excludedRegion
	// excludedEvacuated means that the operators evacuate the data centre of the server.
	excludedEvacuated
	// excludedCold means that the server is cold and that another host is the one to send it requests.
	excludedCold
)

// String returns the reason for logs and explanations.
func (e exclusion) String() string {
	switch e {
	case excludedRegion:
		return "region-not-allowed"
	case excludedEvacuated:
		return "evacuated"
	case excludedCold:
		return "cold"
	default:
		return "eligible"
	}
}

// eligible returns why the configuration, or the operators, rule out a server for the request, regardless of the server's
// load. Placement, retries, hedges and explanations use it.
func (c *call) eligible(s *server, now time.Time) exclusion {
	if !c.allowsRegionOf(s) {
		return excludedRegion
	}
	if c.g.fleet.load().isEvacuated(s) {
		return excludedEvacuated
	}
	if c.coldElsewhere(s, now) {
		return excludedCold
	}
	return notExcluded
}

// candidates returns the registered servers of the call's service that are eligible for the request.
func (c *call) candidates() []*server {
	all := c.g.fleet.load().byService[c.service.Name]
	if !c.restricted() {
		return all
	}
	now := time.Now()
	servers := make([]*server, 0, len(all))
	for _, s := range all {
		if c.eligible(s, now) == notExcluded {
			servers = append(servers, s)
		}
	}
	return servers
}

// restricted reports whether eligible may exclude any server. It spares deployments without restrictions the filter.
func (c *call) restricted() bool {
	return c.currentScope().Restricted() || c.g.protectsCold(c.service) || len(c.g.fleet.load().view.Evacuated) > 0
}

// noneEligible returns an error if the request may go to no server at all, so that waiting for one is useless. A service
// of a deployment without restrictions that has no servers may get some while the request waits.
func (c *call) noneEligible() error {
	if !c.restricted() {
		return nil
	}
	now := time.Now()
	all := c.g.fleet.load().byService[c.service.Name]
	reason := excludedRegion // no server is registered in an allowed region
	for _, s := range all {
		e := c.eligible(s, now)
		if e == notExcluded || e == excludedCold { // checkColdOutlook decides on cold servers
			return nil
		}
		reason = max(reason, e)
	}
	if len(all) == 0 && !c.currentScope().Restricted() {
		return nil
	}
	return &NoServerError{Service: c.service.Name, Registered: len(all), Excluded: reason}
}

// scope returns the route and the workspace as of the configuration in which the request was admitted.
func (c *call) scope() routing.RequestScope {
	return routing.RequestScope{Route: c.route, Workspace: c.workspace}
}
