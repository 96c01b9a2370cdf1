package config

import (
	"net/netip"
	"slices"
	"strings"
	"time"
)

// Defaults for values that a declaration omits.
const (
	defaultWeight              = 1.0
	defaultProbeShare          = 0.01
	defaultProbeBytesPerSecond = 50_000
	defaultProbePath           = "/healthz"
	defaultProbeCost           = time.Millisecond
	defaultRetryBudget         = 0.1
	defaultHedgeBudget         = 0.02
	defaultMaxEjectedShare     = 0.3
	defaultQueueLimit          = 1000
	defaultDedupeWindow        = 10 * time.Minute
	defaultSlots               = 16
	defaultMaxConnections      = 256
	defaultDeadline            = 10 * time.Second
)

// build converts a checked declaration to a snapshot.
func build(d *Declaration, site string) *Snapshot {
	s := &Snapshot{
		Site:     site,
		Services: make(map[string]*Service, len(d.Services)),
		Regions:  make(map[string]*Region, len(d.Regions)),
		Callers:  make(map[string]*Caller, len(d.Callers)),
	}
	for name, r := range d.Regions {
		s.Regions[name] = buildRegion(name, r)
	}
	for name, c := range d.Callers {
		s.Callers[name] = buildCaller(name, c)
	}
	if d.admitsAllClients() {
		s.Callers[AnonymousCaller] = newAnonymousCaller(s)
	}
	sites := sitesOf(d)
	for _, name := range sortedKeys(d.Services) {
		service := buildService(name, d.Services[name], sites)
		service.Accepts = acceptedCallers(d.Services[name].Accept, s.Callers, d.admitsAllClients())
		s.Services[name] = service
		s.Routes = append(s.Routes, service.Routes...)
	}
	slices.SortStableFunc(s.Routes, compareRoutes)
	s.tables = newLookupTables(s)
	return s
}

// admitsAllClients reports whether the declaration has no callers field. An empty one admits nobody: its callers were taken
// away.
func (d *Declaration) admitsAllClients() bool { return d.Callers == nil }

func newAnonymousCaller(s *Snapshot) *Caller {
	c := &Caller{Name: AnonymousCaller, Weight: defaultWeight}
	if regions := sortedKeys(s.Regions); len(regions) > 0 {
		c.HomeRegion = regions[0]
	}
	return c
}

func buildRegion(name string, r *DeclaredRegion) *Region {
	out := &Region{Name: name, Sites: sortedKeys(r.Sites), LinkBytesPerSecond: map[string]int64{}}
	for to, link := range r.Links {
		out.LinkBytesPerSecond[to] = link.BytesPerSecond
	}
	return out
}

func buildCaller(name string, c *DeclaredCaller) *Caller {
	out := &Caller{
		Name:       name,
		Department: c.Department,
		Weight:     orDefault(c.Weight, defaultWeight),
		HomeRegion: c.HomeRegion,
	}
	for _, label := range sortedKeys(c.Tokens) {
		out.TokenHashes = append(out.TokenHashes, strings.ToLower(c.Tokens[label].SHA256))
	}
	for _, network := range sortedKeys(c.Networks) {
		if c.Networks[network] {
			out.Networks = append(out.Networks, network)
		}
	}
	return out
}

// acceptedCallers returns the names of the callers that a service accepts. A caller's own entry takes
// precedence over that of its department. all accepts every caller.
func acceptedCallers(a *DeclaredAccept, callers map[string]*Caller, all bool) map[string]bool {
	out := map[string]bool{}
	for name, caller := range callers {
		if all {
			out[name] = true
			continue
		}
		if a == nil {
			continue
		}
		accepted, specified := a.Callers[name]
		if !specified {
			accepted = a.Departments[caller.Department]
		}
		if accepted {
			out[name] = true
		}
	}
	return out
}

func buildService(name string, d *DeclaredService, sites map[string]string) *Service {
	probe := d.Probe
	if probe == nil {
		probe = &DeclaredProbe{}
	}
	s := &Service{
		Name:                name,
		ProbeShare:          orDefault(probe.Share, defaultProbeShare),
		ProbeBytesPerSecond: orDefault(probe.BytesPerSecond, defaultProbeBytesPerSecond),
		ProbePath:           probe.Path,
		ProbeCost:           durationOrDefault(probe.Cost, defaultProbeCost),
		NotRunStatus:        map[int]bool{},
		RetryBudget:         orDefault(d.RetryBudget, defaultRetryBudget),
		HedgeBudget:         orDefault(d.HedgeBudget, defaultHedgeBudget),
		MaxEjectedShare:     orDefault(d.MaxEjectedShare, defaultMaxEjectedShare),
		QueueLimit:          orDefault(d.QueueLimit, defaultQueueLimit),
		DedupeWindow:        durationOrDefault(d.DedupeWindow, defaultDedupeWindow),
	}
	if s.ProbePath == "" {
		s.ProbePath = defaultProbePath
	}
	for _, code := range d.NotRunStatus {
		s.NotRunStatus[code] = true
	}
	for _, route := range sortedKeys(d.Routes) {
		s.Routes = append(s.Routes, buildRoute(name, route, d.Routes[route]))
	}
	slices.SortStableFunc(s.Routes, compareRoutes)
	for _, target := range sortedKeys(d.Targets) {
		s.Targets = append(s.Targets, buildTarget(name, target, d, sites))
	}
	return s
}

func buildRoute(service, name string, d *DeclaredRoute) *Route {
	return &Route{
		Name:       name,
		Service:    service,
		Host:       strings.ToLower(d.Host),
		PathPrefix: cleanPrefix(d.PathPrefix),
		Methods:    d.Methods,
		Idempotent: d.Idempotent,
		Deadline:   durationOrDefault(d.Deadline, defaultDeadline),
		Long:       d.Long,
	}
}

func buildTarget(service, name string, d *DeclaredService, sites map[string]string) *Target {
	declared := d.Targets[name]
	defaults := d.TargetDefaults
	if defaults == nil {
		defaults = &DeclaredTargetDefaults{}
	}
	return &Target{
		Name:           name,
		Service:        service,
		Address:        netip.MustParseAddrPort(declared.Address).String(),
		Region:         sites[declared.Site],
		Site:           declared.Site,
		Slots:          orDefault(declared.Slots, orDefault(defaults.Slots, defaultSlots)),
		MaxConnections: orDefault(declared.MaxConnections, orDefault(defaults.MaxConnections, defaultMaxConnections)),
		Draining:       declared.Draining,
	}
}

func orDefault[T any](v *T, fallback T) T {
	if v == nil {
		return fallback
	}
	return *v
}

func durationOrDefault(v *Duration, fallback time.Duration) time.Duration {
	if v == nil {
		return fallback
	}
	return time.Duration(*v)
}
