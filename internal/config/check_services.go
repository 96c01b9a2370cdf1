package config

import (
	"strconv"
	"strings"
	"time"
)

const (
	minNotRunStatus = 400
	maxNotRunStatus = 599
)

func (c *checker) checkServices() {
	for _, name := range sortedKeys(c.declaration.Services) {
		path := "services." + name
		c.checkName(path, name)
		s := c.declaration.Services[name]
		c.checkAccept(path+".accept", s.Accept)
		c.checkServiceFields(path, s)
		for _, route := range sortedKeys(s.Routes) {
			c.checkRoute(path+".routes."+route, route, s.Routes[route])
		}
		c.checkTargets(path, s)
	}
}

func (c *checker) checkAccept(path string, a *DeclaredAccept) {
	if a == nil {
		return
	}
	for _, name := range sortedKeys(a.Callers) {
		if _, known := c.declaration.Callers[name]; !known {
			c.report(UnknownName, path+".callers."+name, name, "a declared caller")
		}
	}
	for _, name := range sortedKeys(a.Departments) {
		if _, known := c.declaration.Departments[name]; !known {
			c.report(UnknownName, path+".departments."+name, name, "a declared department")
		}
	}
}

func (c *checker) checkServiceFields(path string, s *DeclaredService) {
	c.checkShare(path+".retryBudget", s.RetryBudget)
	c.checkShare(path+".hedgeBudget", s.HedgeBudget)
	c.checkShare(path+".maxEjectedShare", s.MaxEjectedShare)
	c.checkInt(path+".queueLimit", s.QueueLimit, 0, maxQueueLimit)
	c.checkDuration(path+".dedupeWindow", s.DedupeWindow, maxDedupeWindow)
	for i := range s.NotRunStatus {
		c.checkInt(path+".notRunStatus", &s.NotRunStatus[i], minNotRunStatus, maxNotRunStatus)
	}
	if d := s.TargetDefaults; d != nil {
		c.checkInt(path+".targetDefaults.slots", d.Slots, 1, maxSlots)
		c.checkInt(path+".targetDefaults.maxConnections", d.MaxConnections, 1, maxConnections)
	}
	p := s.Probe
	if p == nil {
		return
	}
	c.checkShare(path+".probe.share", p.Share)
	c.checkInt(path+".probe.bytesPerSecond", p.BytesPerSecond, 0, maxProbeBytesPerSecond)
	c.checkDuration(path+".probe.cost", p.Cost, time.Minute)
	if p.Path != "" && !strings.HasPrefix(p.Path, "/") {
		c.report(BadFormat, path+".probe.path", p.Path, "a path that begins with /")
	}
}

func (c *checker) checkRoute(path, name string, r *DeclaredRoute) {
	c.checkName(path, name)
	c.checkDuration(path+".deadline", r.Deadline, maxDeadline)
	if r.PathPrefix != "" && !strings.HasPrefix(r.PathPrefix, "/") {
		c.report(BadFormat, path+".pathPrefix", r.PathPrefix, "a path that begins with /")
	}
	if strings.ContainsAny(r.PathPrefix, "?#* ") {
		c.report(BadFormat, path+".pathPrefix", r.PathPrefix, "a path without query, fragment, blank or wildcard")
	}
	if strings.ContainsAny(r.Host, ":/* ") {
		c.report(BadFormat, path+".host", r.Host, "a host name without port or wildcard")
	}
	for _, m := range r.Methods {
		if m == "" || strings.ToUpper(m) != m || !isPlainName(m) {
			c.report(BadFormat, path+".methods", m, "a method in capitals")
		}
	}
}

func (c *checker) checkTargets(path string, s *DeclaredService) {
	owners := map[string]string{}
	for _, name := range sortedKeys(s.Targets) {
		at := path + ".targets." + name
		t := s.Targets[name]
		c.checkName(at, name)
		c.checkAddress(at+".address", t.Address)
		c.checkInt(at+".slots", t.Slots, 1, maxSlots)
		c.checkInt(at+".maxConnections", t.MaxConnections, 1, maxConnections)
		c.checkTargetSite(at+".site", t.Site)
		if owner, taken := owners[t.Address]; taken && t.Address != "" {
			c.report(Clash, at+".address", t.Address, "an address once in a service; "+owner+" has it too")
		}
		owners[t.Address] = name
	}
}

func (c *checker) checkTargetSite(path, site string) {
	if len(c.declaration.Regions) == 0 && site == "" {
		return
	}
	if _, known := c.sites[site]; !known {
		c.report(UnknownName, path, site, "a declared data centre")
	}
}

// checkRouteClashes reports routes that match the same requests with the same precedence.
func (c *checker) checkRouteClashes() {
	owners := map[string]string{}
	for _, service := range sortedKeys(c.declaration.Services) {
		routes := c.declaration.Services[service].Routes
		for _, name := range sortedKeys(routes) {
			c.checkRouteClash("services."+service+".routes."+name, routes[name], owners)
		}
	}
}

func (c *checker) checkRouteClash(path string, r *DeclaredRoute, owners map[string]string) {
	methods := r.Methods
	if len(methods) == 0 {
		methods = []string{"*"}
	}
	for _, m := range methods {
		key := strings.ToLower(r.Host) + " " + m + " " + cleanPrefix(r.PathPrefix)
		if owner, taken := owners[key]; taken {
			c.report(Clash, path, strconv.Quote(key), "requests of one route; "+owner+" matches them too")
			continue
		}
		owners[key] = path
	}
}
