package harness

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/bilberryline/bilberryline/internal/clock"
	"github.com/bilberryline/bilberryline/internal/faultproxy"
	"github.com/bilberryline/bilberryline/internal/standin/hosts"
)

// Cluster is a simulated platform with entry hosts in front of its backend servers.
type Cluster struct {
	*Fixture
	Platform *Platform
	Entries  []*Entry
	// TargetProxies are the fault proxies by target. StoreProxy is the one of the key-value service, or nil.
	TargetProxies map[string]*faultproxy.Proxy
	StoreProxy    *faultproxy.Proxy
	// Dir is the directory of logs and configuration.
	Dir string

	options Options
	ports   *PortAllocator
	ownsDir bool // Close removes Dir

	mu         sync.Mutex
	hostStates map[string]string // states in the host list by entry host; guarded by mu
}

// stopTimeout is how long Shutdown waits for the platform process to exit.
const stopTimeout = 20 * time.Second

// Start starts the platform and all entry hosts, and waits until they are ready.
func Start(ctx context.Context, o Options) (*Cluster, error) {
	c, err := Prepare(ctx, o)
	if err != nil {
		return nil, err
	}
	if err := c.StartEntries(ctx); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

// Prepare starts the platform, writes the configuration and allocates the addresses of the entry hosts. It
// does not start entry hosts.
func Prepare(ctx context.Context, o Options) (*Cluster, error) {
	if o.IP == "" {
		o.IP = "127.0.0.1"
	}
	c := &Cluster{
		Dir:           o.Dir,
		TargetProxies: map[string]*faultproxy.Proxy{},
		options:       o,
		ports:         NewPortAllocator(o.IP, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		hostStates:    map[string]string{},
	}
	if err := c.prepare(ctx); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

func (c *Cluster) prepare(ctx context.Context) error {
	if err := c.makeDir(); err != nil {
		return err
	}
	var err error
	if c.Fixture, err = newFixture(c.options.Example, c.ports); err != nil {
		return err
	}
	if home := c.options.HomeRegion; home != "" {
		for _, caller := range c.Declaration.Callers {
			caller.HomeRegion = home
		}
	}
	if c.options.Adjust != nil {
		c.options.Adjust(c.Declaration, c.Backends)
	}
	if c.Platform, err = startPlatform(ctx, c.options.Bin, c.Dir, c.ports, c.Backends); err != nil {
		return err
	}
	if err := c.startProxies(); err != nil {
		return err
	}
	if err := c.writeConfig(c.ConfigDir()); err != nil {
		return err
	}
	c.placeEntries()
	return c.publishHosts(ctx)
}

func (c *Cluster) makeDir() error {
	if c.Dir != "" {
		return errors.WithStack(os.MkdirAll(c.Dir, 0o700))
	}
	dir, err := os.MkdirTemp("", "bilberryline-cluster-")
	c.Dir, c.ownsDir = dir, true
	return errors.WithStack(err)
}

func (c *Cluster) startProxies() error {
	if c.options.ProxyStore {
		p, err := faultproxy.Start(c.ports.Allocate(), strings.TrimPrefix(c.Platform.StoreURL, "http://"), clock.System{})
		if err != nil {
			return errors.WithStack(err)
		}
		c.StoreProxy = p
	}
	if !c.options.ProxyTargets {
		return nil
	}
	for _, service := range c.Declaration.Services {
		for name, target := range service.Targets {
			p, err := faultproxy.Start(c.ports.Allocate(), target.Address, clock.System{})
			if err != nil {
				return errors.WithStack(err)
			}
			c.TargetProxies[name] = p
			target.Address = p.Address()
		}
	}
	return nil
}

// entrySites returns the data centres for entry hosts, in the order of placement.
func (c *Cluster) entrySites() []string {
	home := c.options.HomeRegion
	if home == "" {
		return c.sites()
	}
	return slices.DeleteFunc(c.sites(), func(site string) bool { return c.regionOf(site) != home })
}

// placeEntries assigns the entry hosts to the data centres in turn, with addresses and state live.
func (c *Cluster) placeEntries() {
	sites := c.entrySites()
	for i := range c.options.Entries {
		site := sites[i%len(sites)]
		e := &Entry{
			ID:            fmt.Sprintf("entry-%d", i+1),
			Region:        c.regionOf(site),
			Site:          site,
			CallerAddress: c.ports.Allocate(),
			PeerAddress:   c.ports.Allocate(),
			AdminAddress:  c.ports.Allocate(),
		}
		c.Entries = append(c.Entries, e)
		c.hostStates[e.ID] = StateLive
	}
}

// ConfigDir returns the directory of the configuration files, base.yaml and sites/SITE.yaml.
func (c *Cluster) ConfigDir() string { return filepath.Join(c.Dir, "config") }

// StoreURL returns the base URL of the key-value service, or of its fault proxy if there is one.
func (c *Cluster) StoreURL() string {
	if c.StoreProxy != nil {
		return "http://" + c.StoreProxy.Address()
	}
	return c.Platform.StoreURL
}

// SetHostState sets the state of an entry host in the host list. An empty state removes the host.
func (c *Cluster) SetHostState(ctx context.Context, e *Entry, state string) error {
	c.mu.Lock()
	if state == "" {
		delete(c.hostStates, e.ID)
	} else {
		c.hostStates[e.ID] = state
	}
	c.mu.Unlock()
	return c.publishHosts(ctx)
}

func (c *Cluster) publishHosts(ctx context.Context) error {
	groups := []hosts.Group{}
	c.mu.Lock()
	for _, e := range c.Entries {
		if state, ok := c.hostStates[e.ID]; ok {
			groups = append(groups, e.hostGroup(state))
		}
	}
	c.mu.Unlock()
	for _, b := range c.Backends {
		groups = append(groups, hosts.Group{Targets: []string{b.Address}, Labels: map[string]string{
			"id": b.Name, "name": b.Name, "role": "backend", "state": StateLive, "region": b.Region, "site": b.Site,
		}})
	}
	return c.Platform.SetHosts(ctx, groups)
}

// StartEntries starts all entry hosts and waits until they are ready.
func (c *Cluster) StartEntries(ctx context.Context) error {
	for _, e := range c.Entries {
		if err := c.startProcess(e); err != nil {
			return err
		}
	}
	for _, e := range c.Entries {
		if err := e.WaitReady(ctx, readyTimeout); err != nil {
			return err
		}
	}
	return nil
}

// StartEntry starts an entry host that is not running, as a new incarnation, and waits until it is ready.
func (c *Cluster) StartEntry(ctx context.Context, e *Entry) error {
	if err := c.startProcess(e); err != nil {
		return err
	}
	return e.WaitReady(ctx, readyTimeout)
}

func (c *Cluster) startProcess(e *Entry) error {
	args := []string{
		"--id", e.ID, "--region", e.Region, "--site", e.Site,
		"--listen", e.CallerAddress, "--listen-peer", e.PeerAddress, "--listen-admin", e.AdminAddress,
		"--hosts-url", c.Platform.HostsURL, "--log-format", "json", "--key-cold-hold", "0s",
	}
	if c.options.FromStore {
		args = append(args, "--store-url", c.StoreURL())
	} else {
		args = append(args, "--config", c.ConfigDir()+"/base.yaml", "--overlay", c.ConfigDir()+"/sites/"+e.Site+".yaml")
	}
	if c.options.Policy != "" {
		args = append(args, "--policy", c.options.Policy)
	}
	process, err := StartProcess(c.Dir, e.ID, c.options.Bin.Path("bilberry-entry"), append(args, c.options.EntryArgs...)...)
	if err != nil {
		return err
	}
	e.Process = process
	return nil
}

// Close kills all processes, entry hosts first, and waits until they have exited.
func (c *Cluster) Close() {
	var stops sync.WaitGroup
	for _, e := range c.Entries {
		if e.Process != nil {
			stops.Go(func() { e.ensureKilled() })
		}
	}
	stops.Wait()
	for _, p := range c.TargetProxies {
		p.Close()
	}
	if c.StoreProxy != nil {
		c.StoreProxy.Close()
	}
	if c.Platform != nil {
		c.Platform.ensureKilled()
	}
	if c.ownsDir {
		_ = os.RemoveAll(c.Dir)
	}
}

// ensureKilled kills the process if it runs, and waits until it has exited. SIGKILL also ends a process that
// SIGSTOP has stopped.
func (p *Process) ensureKilled() {
	if p.Running() {
		p.Kill()
	}
}

// Shutdown stops all entry hosts gracefully within limit, and then the platform. It returns the first error.
func (c *Cluster) Shutdown(limit time.Duration) error {
	failures := make(chan error, len(c.Entries))
	for _, e := range c.Entries {
		go func() { failures <- e.Stop(limit) }()
	}
	var first error
	for range c.Entries {
		if err := <-failures; err != nil && first == nil {
			first = err
		}
	}
	if err := c.Platform.Stop(stopTimeout); err != nil && first == nil {
		first = err
	}
	return first
}
