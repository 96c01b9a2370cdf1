package region

import "time"

// Config configures a Spill. Zero fields take their defaults.
type Config struct {
	// SiteWait is the expected wait at the nearest group from which on work spills to other data
	// centres of the region. Default 5 ms.
	SiteWait time.Duration
	// RegionWait is the expected wait, at the best group of the region, from which on work spills
	// to other regions. Default 100 ms.
	RegionWait time.Duration
	// LowWatermark is the share of SiteWait and RegionWait below which spilling lessens, 0 to 1.
	// Default 0.5.
	LowWatermark float64
	// StepInterval is the time between two changes of the spilled share. Default 100 ms.
	StepInterval time.Duration
	// StepUp is what one step adds to the spilled share, 0 to 1. Default 0.2.
	StepUp float64
	// StepDown is what one step takes from it. Default 0.05.
	StepDown float64
	// MaxFill is the share of busy and waiting to slots from which on a group takes no spilled work.
	// Default 0.9.
	MaxFill float64
	// MaxFillAge is the age from which on a fill is not believed. Default 3 s.
	MaxFillAge time.Duration
	// Burst is the time for which a link's budget may be saved up. Default 1 s.
	Burst time.Duration
}

const (
	defaultSiteWait   = 5 * time.Millisecond
	defaultRegionWait = 100 * time.Millisecond
	defaultReturn     = 0.5
	defaultStep       = 100 * time.Millisecond
	defaultRise       = 0.2
	defaultFall       = 0.05
	defaultMaxFill    = 0.9
	defaultMaxAge     = 3 * time.Second
	defaultBurst      = time.Second
)

func (c Config) withDefaults() Config {
	setTime(&c.SiteWait, defaultSiteWait)
	setTime(&c.RegionWait, defaultRegionWait)
	setShare(&c.LowWatermark, defaultReturn)
	setTime(&c.StepInterval, defaultStep)
	setShare(&c.StepUp, defaultRise)
	setShare(&c.StepDown, defaultFall)
	setShare(&c.MaxFill, defaultMaxFill)
	setTime(&c.MaxFillAge, defaultMaxAge)
	setTime(&c.Burst, defaultBurst)
	return c
}

func setTime(v *time.Duration, d time.Duration) {
	if *v <= 0 {
		*v = d
	}
}

func setShare(v *float64, d float64) {
	if *v <= 0 {
		*v = d
	}
}
