package backend

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/bilberryline/bilberryline/internal/clock"
)

// Config describes one server.
type Config struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	// Service, Site and Region are labels for those who read the list of servers.
	Service  string   `json:"service"`
	Site     string   `json:"site"`
	Region   string   `json:"region"`
	Settings Settings `json:"settings"`
}

// Server is one backend server. It is safe for concurrent use.
type Server struct {
	cfg     Config
	clock   clock.Clock
	runs    *RunLog
	probes  *ProbeMeter
	slots   slotPool
	stats   statsCounter
	history loadHistory
	meter   rateMeter

	mu       sync.Mutex
	rng      *rand.Rand
	settings Settings
	coldLeft int // requests that still run cold
	current  *instance
	starts   uint64 // counts starts, so that a late revival after a crash is dropped
}

// instance is one life of a server, from listen to close.
type instance struct {
	listener *listener
	http     *http.Server
	done     chan struct{}
	// ctx ends when the server crashes or is shut down.
	ctx    context.Context
	cancel context.CancelFunc
}

// NewServer returns a server that does not listen yet.
func NewServer(cfg Config, log *RunLog, probes *ProbeMeter, c clock.Clock, rng *rand.Rand) *Server {
	s := &Server{cfg: cfg, clock: c, runs: log, probes: probes, rng: rng, settings: cfg.Settings, coldLeft: cfg.Settings.ColdRequests}
	s.slots.clock = c
	s.slots.resize(cfg.Settings.Slots, cfg.Settings.Queue)
	return s
}

// Start begins to listen.
func (s *Server) Start() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.startLocked()
}

func (s *Server) startLocked() error {
	if s.current != nil {
		return nil
	}
	l, err := net.Listen("tcp", s.cfg.Address)
	if err != nil {
		return errors.WithMessage(err, "backend "+s.cfg.Name)
	}
	s.cfg.Address = l.Addr().String()
	up := &instance{listener: newListener(l), done: make(chan struct{})}
	up.ctx, up.cancel = context.WithCancel(context.Background())
	up.http = &http.Server{Handler: s.handler(up), ReadHeaderTimeout: time.Minute}
	s.current = up
	s.starts++
	go func() {
		defer close(up.done)
		_ = up.http.Serve(up.listener)
	}()
	return nil
}

// Address returns the address on which the server listens.
func (s *Server) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cfg.Address
}

// Stop cuts each connection and stops listening.
func (s *Server) Stop() { s.stopAfter(0) }

// stopAfter does the same, and stops listening a while later than it cuts the connections.
func (s *Server) stopAfter(linger time.Duration) {
	s.mu.Lock()
	up := s.current
	s.current = nil
	s.mu.Unlock()
	if up == nil {
		return
	}
	up.cancel()
	if linger > 0 {
		<-s.clock.After(linger)
	}
	up.listener.Close()
	up.listener.reset()
	_ = up.http.Close()
	<-up.done
}

// crash takes the server down and brings it back after a while.
func (s *Server) crash() {
	s.mu.Lock()
	down := milliseconds(s.settings.CrashDownMS)
	linger := milliseconds(s.settings.CrashLingerMS)
	starts := s.starts
	s.mu.Unlock()
	s.stopAfter(linger)
	go func() {
		<-s.clock.After(down)
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.starts == starts {
			s.coldLeft = s.settings.ColdRequests
			_ = s.startLocked()
		}
	}()
}

// Blackhole makes the open connections silent for good.
func (s *Server) Blackhole() {
	s.mu.Lock()
	up := s.current
	s.mu.Unlock()
	if up != nil {
		up.listener.blackhole()
	}
}

// Settings returns the settings in force.
func (s *Server) Settings() Settings {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.settings
}

// Apply puts new settings in force.
func (s *Server) Apply(next Settings) error {
	if err := next.Validate(); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if next.Drain && !s.settings.Drain {
		now := s.clock.Now()
		s.stats.update(func(st *Stats) { st.DrainedAt = now })
	}
	if next.ColdRequests != s.settings.ColdRequests {
		s.coldLeft = next.ColdRequests
	}
	s.settings = next
	s.slots.resize(next.Slots, next.Queue)
	return nil
}

// Stats returns the counts of the server.
func (s *Server) Stats() Stats {
	st := s.stats.get()
	busy, waiting, _ := s.slots.usage()
	st.InFlight, st.Waiting = busy, waiting
	s.mu.Lock()
	up := s.current
	s.mu.Unlock()
	if up != nil {
		st.Connections, st.PeakConnections = up.listener.counts()
	}
	return st
}

// Config returns the server's description with its current address.
func (s *Server) Config() Config {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cfg
}
