package queue

import "time"

// Config configures a Queue. Zero fields take their defaults.
type Config struct {
	// Limit is the number of requests that may wait, over both classes. Default 1024.
	Limit int
	// MaxWaitShare is the share of the time left to its deadline that a request may be expected to
	// wait when it is admitted, 0 to 1. Default 0.5.
	MaxWaitShare float64
	// StandingAfter is how long short requests must have waited without a break, beside ten running
	// times, for their queue to count as standing. Default 200 ms; a negative value means never.
	StandingAfter time.Duration
	// MaxStandingWait bounds the expected wait of a request that joins a standing queue, beside its
	// own cost. Default 20 ms.
	MaxStandingWait time.Duration
	// MinLongShare is the share of slots that waiting long requests are guaranteed, 0 to 1. Default 0.25.
	MinLongShare float64
	// MinShortShare is the smallest share of slots kept from long requests, 0 to 1. Default 0.2.
	MinShortShare float64
	// DemandWindow is the time constant of the estimate of short work's demand. Default 2 s.
	DemandWindow time.Duration
	// DefaultCost is assumed for requests without an estimate. Default 10 ms.
	DefaultCost time.Duration
}

const (
	defaultLimit        = 1024
	defaultWaitShare    = 0.5
	defaultStanding     = 200 * time.Millisecond
	defaultStandingWait = 20 * time.Millisecond
	defaultLongShare    = 0.25
	defaultShortShare   = 0.2
	defaultDemandWindow = 2 * time.Second
	defaultCost         = 10 * time.Millisecond
)

func (c Config) withDefaults() Config {
	if c.Limit <= 0 {
		c.Limit = defaultLimit
	}
	if c.MaxWaitShare <= 0 || c.MaxWaitShare > 1 {
		c.MaxWaitShare = defaultWaitShare
	}
	if c.StandingAfter == 0 {
		c.StandingAfter = defaultStanding
	}
	if c.MaxStandingWait <= 0 {
		c.MaxStandingWait = defaultStandingWait
	}
	if c.MinLongShare <= 0 || c.MinLongShare >= 1 {
		c.MinLongShare = defaultLongShare
	}
	if c.MinShortShare <= 0 || c.MinShortShare >= 1 {
		c.MinShortShare = defaultShortShare
	}
	if c.DemandWindow <= 0 {
		c.DemandWindow = defaultDemandWindow
	}
	if c.DefaultCost <= 0 {
		c.DefaultCost = defaultCost
	}
	return c
}
