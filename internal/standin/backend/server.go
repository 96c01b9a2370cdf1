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

// Config configures a server.
type Config struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	// Service, Site and Region are labels that GET /backends returns. Service also groups probes in a ProbeMeter.
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
	coldLeft int // remaining requests that run ColdFactor times as long
	current  *instance
	starts   uint64 // number of starts; a restart after a crash is skipped if it changed meanwhile
}

// instance is a running server, from Start to Stop or a crash.
type instance struct {
	listener *listener
	http     *http.Server
	done     chan struct{}
	// ctx is cancelled when the server crashes or stops.
	ctx    context.Context
	cancel context.CancelFunc
}

// NewServer returns a server that is not started.
func NewServer(cfg Config, runs *RunLog, probes *ProbeMeter, c clock.Clock, rng *rand.Rand) *Server {
	s := &Server{cfg: cfg, clock: c, runs: runs, probes: probes, rng: rng, settings: cfg.Settings, coldLeft: cfg.Settings.ColdRequests}
	s.slots.clock = c
	s.slots.resize(cfg.Settings.Slots, cfg.Settings.Queue)
	return s
}

// Start starts the server. It does nothing if the server is running.
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
	inst := &instance{listener: newListener(l), done: make(chan struct{})}
	inst.ctx, inst.cancel = context.WithCancel(context.Background())
	inst.http = &http.Server{Handler: s.handler(inst), ReadHeaderTimeout: time.Minute}
	s.current = inst
	s.starts++
	go func() {
		defer close(inst.done)
		_ = inst.http.Serve(inst.listener)
	}()
	return nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cfg.Address
}

// Stop stops listening and resets all connections.
func (s *Server) Stop() { s.stopAfter(0) }

// stopAfter cancels the running requests, keeps listening for linger, then stops listening and resets all
// connections.
func (s *Server) stopAfter(linger time.Duration) {
	s.mu.Lock()
	inst := s.current
	s.current = nil
	s.mu.Unlock()
	if inst == nil {
		return
	}
	inst.cancel()
	if linger > 0 {
		<-s.clock.After(linger)
	}
	inst.listener.Close()
	inst.listener.reset()
	_ = inst.http.Close()
	<-inst.done
}

// crash stops the server and restarts it after CrashDownMS.
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

// Blackhole makes all open connections discard further traffic. New connections work normally.
func (s *Server) Blackhole() {
	s.mu.Lock()
	inst := s.current
	s.mu.Unlock()
	if inst != nil {
		inst.listener.blackhole()
	}
}

// Settings returns the current settings.
func (s *Server) Settings() Settings {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.settings
}

// Apply replaces the settings. It returns a *SettingsError if they are invalid.
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

// Stats returns the statistics of the server.
func (s *Server) Stats() Stats {
	st := s.stats.get()
	busy, waiting, _ := s.slots.usage()
	st.InFlight, st.Waiting = busy, waiting
	s.mu.Lock()
	inst := s.current
	s.mu.Unlock()
	if inst != nil {
		st.Connections, st.PeakConnections = inst.listener.counts()
	}
	return st
}

// Config returns the initial configuration of the server, with its current address.
func (s *Server) Config() Config {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cfg
}
