package gateway

import (
	"maps"
	"sync"
	"time"

	"github.com/bilberryline/bilberryline/internal/balance/expect"
	"github.com/bilberryline/bilberryline/internal/balance/silence"
	"github.com/bilberryline/bilberryline/internal/event"
	"github.com/bilberryline/bilberryline/internal/routing"
)

// silentServices holds the observations about each service from which hosts detect that its servers stay silent when they
// are full. Its lock is a leaf.
type silentServices struct {
	events *event.Recorder

	mu          sync.Mutex
	byService   map[string]*silence.Detector
	occupancies map[string]*silence.Occupancy
}

func newSilentServices(events *event.Recorder) *silentServices {
	return &silentServices{events: events, byService: make(map[string]*silence.Detector), occupancies: make(map[string]*silence.Occupancy)}
}

// retain drops all services but the given ones.
func (s *silentServices) retain(services map[string]*routing.Service) {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.byService, func(name string, _ *silence.Detector) bool { return services[name] == nil })
	maps.DeleteFunc(s.occupancies, func(name string, _ *silence.Occupancy) bool { return services[name] == nil })
}

// silent reports whether a service is treated as silent.
func (s *silentServices) silent(service string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := s.byService[service]
	return d != nil && d.Silent(now)
}

// observe passes the detector of a service to f, and records an event if the service is treated differently after it.
func (s *silentServices) observe(service string, now time.Time, f func(d *silence.Detector)) {
	s.mu.Lock()
	d := s.byService[service]
	if d == nil {
		d = &silence.Detector{}
		s.byService[service] = d
	}
	before := d.Silent(now)
	f(d)
	after := d.Silent(now)
	s.mu.Unlock()
	switch {
	case after && !before:
		s.events.Record(event.GatewaySilent, event.Fields{Service: service})
	case before && !after:
		s.events.Record(event.GatewayNotSilent, event.Fields{Service: service})
	}
}

// lossDelay returns the time from the send of a request after which it is lost with the given probability, or false if
// that isn't reached. crowded and expected are those of the request.
func (s *silentServices) lossDelay(service string, probability float64, crowded bool, expected time.Duration) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := s.byService[service]
	if d == nil {
		return 0, false
	}
	ratio, ok := d.LossRatio(probability, crowded)
	return time.Duration(ratio * float64(expected)), ok
}

// calibrate compares the probability that a server was full at the send of a request with the probability that the request
// was lost.
func (s *silentServices) calibrate(service string, predicted, lost float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o := s.occupancies[service]; o != nil {
		o.Calibrate(predicted, lost)
	}
}

// observeReport adds the load report of a server of the service.
func (s *silentServices) observeReport(service string, rep expect.Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.occupancies[service]
	if o == nil {
		o = &silence.Occupancy{}
		s.occupancies[service] = o
	}
	o.Observe(rep.Running+rep.Waiting, rep.Slots)
}

// occupancy returns what the recent reports of the service's servers show.
func (s *silentServices) occupancy(service string) silence.Occupancy {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o := s.occupancies[service]; o != nil {
		return *o
	}
	return silence.Occupancy{}
}
