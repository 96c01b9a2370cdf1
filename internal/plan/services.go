package plan

import (
	"fmt"
	"reflect"

	"github.com/bilberryline/bilberryline/internal/config"
)

func (c *siteDiff) diffService(name string, before, after *config.Service) {
	if before == nil {
		c.add(Change{Kind: ServiceAdded, Service: name, Text: fmt.Sprintf("service %s is added", name)})
		before = &config.Service{}
	}
	removed := after == nil
	if removed {
		c.add(Change{Kind: ServiceRemoved, Service: name, Text: fmt.Sprintf("service %s is removed", name)})
		after = &config.Service{}
	}
	c.diffAccess(name, before, after)
	c.diffTargets(name, before, after)
	c.diffRoutes(name, before, after)
	if !removed && before.Name != "" && !reflect.DeepEqual(withoutEntries(before), withoutEntries(after)) {
		c.add(Change{Kind: ServiceChanged, Service: name, Text: fmt.Sprintf("service %s: budgets or limits change", name)})
	}
}

// withoutEntries returns s without its targets, routes and callers, so that only its settings are
// compared.
func withoutEntries(s *config.Service) config.Service {
	settings := *s
	settings.Targets, settings.Routes, settings.Accepts = nil, nil, nil
	return settings
}

func (c *siteDiff) diffAccess(name string, before, after *config.Service) {
	for _, caller := range unionKeys(before.Accepts, after.Accepts) {
		had, has := before.Accepts[caller], after.Accepts[caller]
		switch {
		case has && !had:
			c.add(Change{Kind: CallerGains, Service: name, Name: caller, Text: fmt.Sprintf("caller %s gains access to service %s", caller, name)})
		case had && !has:
			c.add(Change{
				Kind: CallerLoses, Service: name, Name: caller, Harm: HarmCutOff,
				Text: fmt.Sprintf("caller %s loses access to service %s", caller, name),
			})
		}
	}
}

func (c *siteDiff) diffTargets(name string, before, after *config.Service) {
	oldTargets, newTargets := targetsByName(before), targetsByName(after)
	for _, target := range unionKeys(oldTargets, newTargets) {
		oldTarget, newTarget := oldTargets[target], newTargets[target]
		switch {
		case oldTarget == nil:
			c.add(Change{Kind: TargetGained, Service: name, Name: target, Text: fmt.Sprintf("service %s gains backend server %s (%s, %d slots)", name, target, newTarget.Address, newTarget.Slots)})
		case newTarget == nil:
			c.add(Change{Kind: TargetLost, Service: name, Name: target, Text: fmt.Sprintf("service %s loses backend server %s (%s)", name, target, oldTarget.Address)})
		case *oldTarget != *newTarget:
			c.add(Change{Kind: TargetChanged, Service: name, Name: target, Text: fmt.Sprintf("service %s: backend server %s changes%s", name, target, describeTargetChange(oldTarget, newTarget))})
		}
	}
	if countNonDraining(before) > 0 && countNonDraining(after) == 0 {
		c.add(Change{Kind: ServiceEmptied, Service: name, Harm: HarmEmpty, Text: fmt.Sprintf("service %s is left with no backend server that takes work", name)})
	}
}

func describeTargetChange(oldTarget, newTarget *config.Target) string {
	text := ""
	if oldTarget.Address != newTarget.Address {
		text += fmt.Sprintf(", address %s to %s", oldTarget.Address, newTarget.Address)
	}
	if oldTarget.Slots != newTarget.Slots {
		text += fmt.Sprintf(", slots %d to %d", oldTarget.Slots, newTarget.Slots)
	}
	if oldTarget.MaxConnections != newTarget.MaxConnections {
		text += fmt.Sprintf(", connections %d to %d", oldTarget.MaxConnections, newTarget.MaxConnections)
	}
	if oldTarget.Site != newTarget.Site {
		text += fmt.Sprintf(", data centre %s to %s", oldTarget.Site, newTarget.Site)
	}
	if oldTarget.Draining != newTarget.Draining {
		text += fmt.Sprintf(", draining %t to %t", oldTarget.Draining, newTarget.Draining)
	}
	return text
}

// countNonDraining returns the number of targets that accept new requests.
func countNonDraining(s *config.Service) int {
	n := 0
	for _, t := range s.Targets {
		if !t.Draining {
			n++
		}
	}
	return n
}

func targetsByName(s *config.Service) map[string]*config.Target {
	m := map[string]*config.Target{}
	for _, t := range s.Targets {
		m[t.Name] = t
	}
	return m
}

func routesByName(s *config.Service) map[string]*config.Route {
	m := map[string]*config.Route{}
	for _, r := range s.Routes {
		m[r.Name] = r
	}
	return m
}

func (c *siteDiff) diffRoutes(name string, before, after *config.Service) {
	oldRoutes, newRoutes := routesByName(before), routesByName(after)
	for _, route := range unionKeys(oldRoutes, newRoutes) {
		oldRoute, newRoute := oldRoutes[route], newRoutes[route]
		switch {
		case oldRoute == nil:
			c.add(Change{Kind: RouteAdded, Service: name, Name: route, Text: fmt.Sprintf("service %s gains route %s (%s)", name, route, newRoute.PathPrefix)})
		case newRoute == nil:
			c.add(Change{Kind: RouteRemoved, Service: name, Name: route, Text: fmt.Sprintf("service %s loses route %s (%s)", name, route, oldRoute.PathPrefix)})
		case !reflect.DeepEqual(oldRoute, newRoute):
			c.add(Change{Kind: RouteChanged, Service: name, Name: route, Text: fmt.Sprintf("service %s: route %s changes", name, route)})
		}
	}
}
