// Package standin simulates the platform in one process: the key-value service, the host list and any
// number of backend servers. A control API injects faults and returns counters.
package standin

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	mathrand "math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/bilberryline/bilberryline/internal/clock"
	"github.com/bilberryline/bilberryline/internal/standin/backend"
	"github.com/bilberryline/bilberryline/internal/standin/hosts"
	"github.com/bilberryline/bilberryline/internal/standin/kv"
)

// maxLoggedRequests is the number of request ids whose runs the log keeps.
const maxLoggedRequests = 2_000_000

// Config configures the simulated services and their addresses.
type Config struct {
	// StoreAddress, HostsAddress and ControlAddress are listen addresses, IP:PORT. Port 0 selects a free port.
	StoreAddress   string
	HostsAddress   string
	ControlAddress string
	// HostsLag is the delay after which a change of the host list becomes visible.
	HostsLag time.Duration
	// Limits are the rate limits of the key-value service.
	Limits kv.Limits
	// Backends are the backend servers.
	Backends []backend.Config
	// Seed seeds the random number generators.
	Seed uint64
}

// Standin is a running instance of the simulated platform.
type Standin struct {
	// StoreAddress, HostsAddress and ControlAddress are the addresses that the process listens on.
	StoreAddress, HostsAddress, ControlAddress string

	clock       clock.Clock
	storeServer *kv.Server
	hostList    *hosts.List
	runs        *backend.RunLog
	probes      *backend.ProbeMeter

	mu       sync.Mutex
	backends map[string]*backend.Server
	order    []string // names of backends in the order of Config.Backends

	servers []*http.Server
	done    sync.WaitGroup
}

// Start listens on all addresses and starts serving.
func Start(cfg Config, c clock.Clock) (*Standin, error) {
	s := &Standin{
		clock:       c,
		storeServer: kv.NewServer(kv.NewStore(c, newSessionID), c, newRand(cfg.Seed, 0), cfg.Limits),
		hostList:    hosts.NewList(c, cfg.HostsLag),
		runs:        backend.NewRunLog(maxLoggedRequests),
		probes:      backend.NewProbeMeter(),
		backends:    map[string]*backend.Server{},
	}
	if err := s.start(cfg); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

func (s *Standin) start(cfg Config) error {
	var err error
	if s.StoreAddress, err = s.serve(cfg.StoreAddress, s.storeServer); err != nil {
		return err
	}
	if s.HostsAddress, err = s.serve(cfg.HostsAddress, s.hostList); err != nil {
		return err
	}
	for i, b := range cfg.Backends {
		server := backend.NewServer(b, s.runs, s.probes, s.clock, newRand(cfg.Seed, uint64(i)+1))
		if err := server.Start(); err != nil {
			return err
		}
		s.backends[b.Name] = server
		s.order = append(s.order, b.Name)
	}
	s.ControlAddress, err = s.serve(cfg.ControlAddress, s.controlHandler())
	return err
}

// serve starts an HTTP server on address and returns the address that it listens on.
func (s *Standin) serve(address string, h http.Handler) (string, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	s.servers = append(s.servers, server)
	s.done.Go(func() { _ = server.Serve(l) })
	return l.Addr().String(), nil
}

// Backend returns the backend server with the name, or nil.
func (s *Standin) Backend(name string) *backend.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.backends[name]
}

// Close stops all servers and waits until they have stopped.
func (s *Standin) Close() {
	for _, server := range s.servers {
		_ = server.Close()
	}
	s.done.Wait()
	for _, name := range s.order {
		s.backends[name].Stop()
	}
}

// Run serves until ctx ends. It calls ready once all servers accept connections.
func Run(ctx context.Context, cfg Config, c clock.Clock, ready func(*Standin)) error {
	s, err := Start(cfg, c)
	if err != nil {
		return err
	}
	defer s.Close()
	ready(s)
	<-ctx.Done()
	return nil
}

func newRand(seed, stream uint64) *mathrand.Rand {
	return mathrand.New(mathrand.NewPCG(seed, stream))
}

// newSessionID returns a random session id in the UUID format of the Consul protocol.
func newSessionID() string {
	var b [16]byte
	_, _ = rand.Read(b[:])
	h := hex.EncodeToString(b[:])
	return h[:8] + "-" + h[8:12] + "-" + h[12:16] + "-" + h[16:20] + "-" + h[20:]
}
