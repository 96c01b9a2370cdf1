package probe

import "time"

// Config configures a Budget. Zero fields take their defaults.
type Config struct {
	// Share is the share of the service's slot time that the probes of all hosts together may take,
	// 0 to 1. Zero allows no probes.
	Share float64
	// BytesPerSecond limits the size of the probes of all hosts together, responses included. Zero
	// allows no probes.
	BytesPerSecond int
	// MaxHosts is the largest number of entry hosts that can exist at the same time, including paused
	// hosts and hosts that are being replaced. Each host uses at most 1/MaxHosts of the budget. Default
	// 32.
	MaxHosts int
	// Window is the period for which the budget holds. Default 1 s.
	Window time.Duration
}

const (
	defaultMaxHosts = 32
	defaultWindow   = time.Second
)

func (c Config) withDefaults() Config {
	if c.MaxHosts <= 0 {
		c.MaxHosts = defaultMaxHosts
	}
	if c.Window <= 0 {
		c.Window = defaultWindow
	}
	return c
}
