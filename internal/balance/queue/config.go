package queue

import "time"

// Config configures a Queue. Zero fields take their defaults.
type Config struct {
	// Limit is the number of requests that may wait, over both classes. Default 1024.
	Limit int
	// MaxWaitShare bounds the estimated wait of a request on admission. It is a share of the time
	// left until the request's deadline, less the request's cost, 0 to 1. Default 0.5.
	MaxWaitShare float64
	// StandingAfter is the time for which the queue of short requests must have been non-empty to
	// count as a standing queue. Ten times the request's cost is added to it. Default 200 ms; a
	// negative value means never.
	StandingAfter time.Duration
	// MaxStandingWait bounds the estimated wait of a request that joins a standing queue. The
	// request's cost is added to it. Default 20 ms.
	MaxStandingWait time.Duration
	// MinLongShare is the share of slots that is guaranteed to waiting long requests, 0 to 1. Default 0.25.
	MinLongShare float64
	// MinShortShare is the smallest share of slots that is reserved for short requests, 0 to 1. Default 0.2.
	MinShortShare float64
	// DemandWindow is the time constant of the estimated demand of short requests. Default 2 s.
	DemandWindow time.Duration
	// DefaultCost is assumed for requests without an estimate. Default 10 ms.
	DefaultCost time.Duration
}

const (
	defaultLimit           = 1024
	defaultMaxWaitShare    = 0.5
	defaultStandingAfter   = 200 * time.Millisecond
	defaultMaxStandingWait = 20 * time.Millisecond
	defaultMinLongShare    = 0.25
	defaultMinShortShare   = 0.2
	defaultDemandWindow    = 2 * time.Second
	defaultCost            = 10 * time.Millisecond
)

func (c Config) withDefaults() Config {
	if c.Limit <= 0 {
		c.Limit = defaultLimit
	}
	if c.MaxWaitShare <= 0 || c.MaxWaitShare > 1 {
		c.MaxWaitShare = defaultMaxWaitShare
	}
	if c.StandingAfter == 0 {
		c.StandingAfter = defaultStandingAfter
	}
	if c.MaxStandingWait <= 0 {
		c.MaxStandingWait = defaultMaxStandingWait
	}
	if c.MinLongShare <= 0 || c.MinLongShare >= 1 {
		c.MinLongShare = defaultMinLongShare
	}
	if c.MinShortShare <= 0 || c.MinShortShare >= 1 {
		c.MinShortShare = defaultMinShortShare
	}
	if c.DemandWindow <= 0 {
		c.DemandWindow = defaultDemandWindow
	}
	if c.DefaultCost <= 0 {
		c.DefaultCost = defaultCost
	}
	return c
}
