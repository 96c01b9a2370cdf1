package gateway

import (
	"maps"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/bilberryline/bilberryline/internal/backend"
	"github.com/bilberryline/bilberryline/internal/balance/coldstart"
	"github.com/bilberryline/bilberryline/internal/event"
	"github.com/bilberryline/bilberryline/internal/registry"
	"github.com/bilberryline/bilberryline/internal/routing"
)

// coldServers paces this host's requests to cold servers. The zero value knows no servers. Its lock is a leaf.
type coldServers struct {
	mu          sync.Mutex
	pacers      map[string]*coldstart.Pacer // by server
	hostsBySite map[string][]string         // registered hosts, sorted
	evacuated   map[string]bool             // data centres; used by Gateway.Update only
}

// doubtEvacuated doubts the servers of the data centres whose evacuation ends with a new view of the registry. It must be
// called before the view is in use.
func (g *Gateway) doubtEvacuated(v *registry.View, now time.Time) {
	evacuated := v.Evacuated
	for _, s := range g.fleet.load().byID {
		if g.cold.evacuated[s.target.Site] && !evacuated[s.target.Site] {
			s.doubt(now)
		}
	}
	g.cold.evacuated = evacuated
}

// updateColdServers ranks this host for each server of a new view of the registry that is in use. The pacer of a server
// outlives its incarnations.
func (g *Gateway) updateColdServers(v *registry.View, now time.Time) {
	snapshot := g.fleet.load()
	hostsBySite := make(map[string][]string)
	for id, h := range v.Hosts {
		hostsBySite[h.Site] = append(hostsBySite[h.Site], id)
	}
	all := slices.Sorted(maps.Keys(v.Hosts))
	for _, hosts := range hostsBySite {
		slices.Sort(hosts)
	}
	c := &g.cold
	c.mu.Lock()
	defer c.mu.Unlock()
	sameHosts := maps.EqualFunc(hostsBySite, c.hostsBySite, slices.Equal[[]string])
	pacers := make(map[string]*coldstart.Pacer)
	for id, s := range snapshot.byID {
		if v.Routes != nil && !g.protects(v.Routes, s) {
			continue
		}
		p := c.pacers[id]
		if p == nil || !sameHosts {
			if p == nil {
				p = &coldstart.Pacer{}
			}
			p.Rank(coldstart.FirstHost(id, hostsBySite[s.target.Site], all) == g.cfg.ID, now)
		}
		pacers[id] = p
	}
	c.pacers, c.hostsBySite = pacers, hostsBySite
}

// protects reports whether the rules for cold servers apply to a server.
func (g *Gateway) protects(routes *routing.Table, s *server) bool {
	service := routes.Services[s.target.Service]
	return service != nil && g.protectsCold(service)
}

// pacerLocked returns the pacer of a server, which is unranked if the server is not registered.
func (c *coldServers) pacerLocked(id string) *coldstart.Pacer {
	if p := c.pacers[id]; p != nil {
		return p
	}
	return &coldstart.Pacer{}
}

// inUse reports whether there are servers to which the rules for cold servers apply.
func (c *coldServers) inUse() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pacers) > 0
}

// freeAt returns when this host may place its next request at a cold server. ok is false if another host is to send it.
func (c *coldServers) freeAt(id string) (at time.Time, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pacerLocked(id).FreeAt()
}

// protectsCold reports whether the rules for cold servers apply to a service. The baseline policies send no probes, so
// that they can't tell cold servers.
func (g *Gateway) protectsCold(service *routing.Service) bool {
	return service.WarmUpRate > 0 && g.cfg.Policy == PolicyLeastExpectedTime
}

// coldSpacing returns the time between two requests to a cold server of a service, or false if it gets none.
func (g *Gateway) coldSpacing(service *routing.Service) (time.Duration, bool) {
	return coldstart.Limits{Rate: service.WarmUpRate, Excess: g.cfg.WarmUpExcess, Slack: g.cfg.WarmUpSlack}.Spacing()
}

// coldSendMargin is how long the knowledge of a server still has to hold when a request is placed there, so that it holds
// when the request is sent.
const coldSendMargin = 50 * time.Millisecond

// coldStatus returns what is known of a server at the given time and until when it is cold at least.
func (s *server) coldStatus(now time.Time) (status coldstart.Status, coldUntil time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cold.Status(now, s.target.ColdUntil), s.cold.ColdUntil(s.target.ColdUntil)
}

// doubt records that the server may have restarted.
func (s *server) doubt(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cold.Doubt(now)
}

// coldUsable reports whether a request may be placed at the server now, as far as it is known to be warm or cold.
func (c *call) coldUsable(s *server, now time.Time) bool {
	if !c.g.protectsCold(c.service) {
		return true
	}
	later, _ := s.coldStatus(now.Add(coldSendMargin))
	switch status, _ := s.coldStatus(now); {
	case status == coldstart.Unverified || later == coldstart.Unverified && status == coldstart.Warm:
		return false
	case status == coldstart.Warm:
		return true
	}
	if _, ok := c.g.coldSpacing(c.service); !ok {
		return false
	}
	at, ok := c.g.cold.freeAt(s.target.ID)
	return ok && !now.Before(at)
}

// coldElsewhere reports whether the server is known to be cold and another host is the one to send it requests.
func (c *call) coldElsewhere(s *server, now time.Time) bool {
	if !c.g.protectsCold(c.service) {
		return false
	}
	if status, until := s.coldStatus(now); status == coldstart.Warm || !now.Before(until) {
		return false
	}
	_, first := c.g.cold.freeAt(s.target.ID)
	return !first
}

// needsVerification reports whether the server must respond to a probe before it may get a request.
func (c *call) needsVerification(s *server, now time.Time) bool {
	if !c.g.protectsCold(c.service) {
		return false
	}
	status, _ := s.coldStatus(now.Add(coldSendMargin))
	return status == coldstart.Unverified
}

// reserveCold keeps other requests from being placed at a cold server that was chosen, until the request is sent.
func (c *call) reserveCold(s *server) {
	if !c.g.protectsCold(c.service) {
		return
	}
	now := time.Now()
	if status, _ := s.coldStatus(now); status == coldstart.Cold {
		c.g.cold.mu.Lock()
		c.g.cold.pacerLocked(s.target.ID).Reserve(now)
		c.g.cold.mu.Unlock()
	}
}

// takeColdPermit checks immediately before the first byte that the server is known to be warm, or takes a permit for a
// cold one. The returned function gives the permit back if nothing was sent.
func (c *call) takeColdPermit(s *server) (giveBack func(), err error) {
	giveBack = func() {}
	if !c.g.protectsCold(c.service) {
		return giveBack, nil
	}
	now := time.Now()
	switch status, _ := s.coldStatus(now); status {
	case coldstart.Unverified:
		return nil, ErrNotVerified
	case coldstart.Warm:
		return giveBack, nil
	}
	spacing, ok := c.g.coldSpacing(c.service)
	if !ok {
		return nil, ErrColdLimit
	}
	cold := &c.g.cold
	cold.mu.Lock()
	defer cold.mu.Unlock()
	permit, ok := cold.pacerLocked(s.target.ID).Take(now, spacing)
	if !ok {
		return nil, ErrColdLimit
	}
	return func() {
		cold.mu.Lock()
		defer cold.mu.Unlock()
		cold.pacerLocked(s.target.ID).GiveBack(permit)
	}, nil
}

// observeContact records what the end of an exchange says about whether the server may have restarted.
func (s *server) observeContact(err error, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case err == nil:
		s.cold.Heard(now)
	case isExchangeError(err) && (faultOf(err) == backend.FaultDial || faultOf(err) == backend.FaultConnectionBroken):
		s.cold.Doubt(now)
	}
}

// observeLostConn doubts the server at an address whose idle connection has ended.
func (g *Gateway) observeLostConn(address string) {
	if !g.cold.inUse() {
		return
	}
	for _, s := range g.fleet.load().byID {
		if s.target.Address == address {
			s.doubt(time.Now())
		}
	}
}

// observeHealth records a response of the server's health path to a probe that was sent at sentAt.
func (g *Gateway) observeHealth(s *server, h http.Header, sentAt, now time.Time) {
	warmUp := parseWarmUp(h.Get(g.cfg.Headers.WarmUp))
	s.mu.Lock()
	changed := s.cold.Verify(sentAt, now, warmUp)
	s.mu.Unlock()
	if !changed {
		return
	}
	id, detail := event.GatewayServerWarm, ""
	if warmUp > 0 {
		id, detail = event.GatewayServerCold, "for another "+warmUp.String()
	}
	g.cfg.Events.Record(id, event.Fields{Service: s.target.Service, Target: s.target.ID, Detail: detail})
}

// countColdServers updates the metrics of the services whose cold servers are protected.
func (g *Gateway) countColdServers(now time.Time) {
	snapshot := g.fleet.load()
	g.metrics.cold.Reset()
	g.metrics.unverified.Reset()
	if snapshot.view.Routes == nil {
		return
	}
	for name, service := range snapshot.view.Routes.Services {
		if !g.protectsCold(service) {
			continue
		}
		var counts [3]int
		for _, s := range snapshot.byService[name] {
			status, _ := s.coldStatus(now)
			counts[status]++
		}
		g.metrics.cold.WithLabelValues(name).Set(float64(counts[coldstart.Cold]))
		g.metrics.unverified.WithLabelValues(name).Set(float64(counts[coldstart.Unverified]))
	}
}

const (
	// maxWarmUp limits the time for which a server says that it stays cold.
	maxWarmUp = 10 * time.Minute
	// oddWarmUp is assumed if the value can't be read.
	oddWarmUp = 5 * time.Second
)

// parseWarmUp returns how long a server stays cold by the header field of its health path, a number of milliseconds. It
// is zero if the server is warm, and oddWarmUp if the value is invalid, since only a warm server may leave it out.
func parseWarmUp(value string) time.Duration {
	if value == "" {
		return 0
	}
	ms, err := strconv.ParseFloat(value, 64)
	if err != nil || !(ms >= 0) {
		return oddWarmUp
	}
	return time.Duration(min(ms, float64(maxWarmUp.Milliseconds())) * float64(time.Millisecond))
}
