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

// withoutEntries returns the service without its targets, routes and callers.
func withoutEntries(s *config.Service) config.Service {
	bare := *s
	bare.Targets, bare.Routes, bare.Accepts = nil, nil, nil
	return bare
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
	old, fresh := targetsByName(before), targetsByName(after)
	for _, target := range unionKeys(old, fresh) {
		was, is := old[target], fresh[target]
		switch {
		case was == nil:
			c.add(Change{Kind: TargetGained, Service: name, Name: target, Text: fmt.Sprintf("service %s gains backend server %s (%s, %d slots)", name, target, is.Address, is.Slots)})
		case is == nil:
			c.add(Change{Kind: TargetLost, Service: name, Name: target, Text: fmt.Sprintf("service %s loses backend server %s (%s)", name, target, was.Address)})
		case *was != *is:
			c.add(Change{Kind: TargetChanged, Service: name, Name: target, Text: fmt.Sprintf("service %s: backend server %s changes%s", name, target, describeTargetChange(was, is))})
		}
	}
	if countNonDraining(before) > 0 && countNonDraining(after) == 0 {
		c.add(Change{Kind: ServiceEmptied, Service: name, Harm: HarmEmpty, Text: fmt.Sprintf("service %s is left with no backend server that takes work", name)})
	}
}

func describeTargetChange(was, is *config.Target) string {
	words := ""
	if was.Address != is.Address {
		words += fmt.Sprintf(", address %s to %s", was.Address, is.Address)
	}
	if was.Slots != is.Slots {
		words += fmt.Sprintf(", slots %d to %d", was.Slots, is.Slots)
	}
	if was.MaxConnections != is.MaxConnections {
		words += fmt.Sprintf(", connections %d to %d", was.MaxConnections, is.MaxConnections)
	}
	if was.Site != is.Site {
		words += fmt.Sprintf(", data centre %s to %s", was.Site, is.Site)
	}
	if was.Draining != is.Draining {
		words += fmt.Sprintf(", draining %t to %t", was.Draining, is.Draining)
	}
	return words
}

// countNonDraining counts the targets that take work.
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
	old, fresh := routesByName(before), routesByName(after)
	for _, route := range unionKeys(old, fresh) {
		was, is := old[route], fresh[route]
		switch {
		case was == nil:
			c.add(Change{Kind: RouteAdded, Service: name, Name: route, Text: fmt.Sprintf("service %s gains route %s (%s)", name, route, is.PathPrefix)})
		case is == nil:
			c.add(Change{Kind: RouteRemoved, Service: name, Name: route, Text: fmt.Sprintf("service %s loses route %s (%s)", name, route, was.PathPrefix)})
		case !reflect.DeepEqual(was, is):
			c.add(Change{Kind: RouteChanged, Service: name, Name: route, Text: fmt.Sprintf("service %s: route %s changes", name, route)})
		}
	}
}
