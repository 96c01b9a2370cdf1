// Package demo starts a small deployment on loopback, sends sample requests through it and checks
// their answers.
package demo

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/bilberryline/bilberryline/internal/harness"
)

// Config configures a demonstration.
type Config struct {
	Bin harness.Binaries
	// Example is the name of the example configuration, potcoava or pinselwerk.
	Example string
	// FromStore writes the configuration to the store with bilberryctl, and the entry hosts follow the
	// store. Otherwise they read files.
	FromStore bool
	// Once stops the demonstration after the sample requests.
	Once bool
	Out  io.Writer
}

const (
	entryHosts = 3
	// drainTimeout is the maximum time that an entry host may take to drain.
	drainTimeout = 30 * time.Second
)

// homeRegions maps each example to the region of its entry hosts.
var homeRegions = map[string]string{"potcoava": "transilvania", "pinselwerk": "oberbayern"}

// Run starts a cluster and sends the sample requests. Unless Once is set, it keeps the cluster running
// until ctx is done. Then it drains all processes.
func Run(ctx context.Context, cfg Config) error {
	c, err := startCluster(ctx, cfg)
	if err != nil {
		return err
	}
	defer c.Close()
	if err := runSampleRequests(ctx, cfg, c); err != nil {
		if cfg.Once {
			return err
		}
		fmt.Fprintln(cfg.Out, err)
	}
	if !cfg.Once {
		printGuide(cfg.Out, c)
		<-ctx.Done()
	}
	fmt.Fprintln(cfg.Out, "draining ...")
	if err := c.Shutdown(drainTimeout); err != nil {
		return err
	}
	fmt.Fprintln(cfg.Out, "all processes have ended with nothing in flight")
	return nil
}

func startCluster(ctx context.Context, cfg Config) (*harness.Cluster, error) {
	c, err := harness.Prepare(ctx, harness.Options{
		Bin:        cfg.Bin,
		Example:    cfg.Example,
		Entries:    entryHosts,
		HomeRegion: homeRegions[cfg.Example],
		FromStore:  cfg.FromStore,
		EntryArgs:  []string{"--drain-delay", "200ms"},
	})
	if err != nil {
		return nil, err
	}
	fmt.Fprintf(cfg.Out, "example %s: %d backend servers, %d entry hosts, logs in %s\n", cfg.Example, len(c.Backends), len(c.Entries), c.Dir)
	if cfg.FromStore {
		if err := c.Apply(ctx, "demonstration"); err != nil {
			c.Close()
			return nil, err
		}
	}
	if err := c.StartEntries(ctx); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}
