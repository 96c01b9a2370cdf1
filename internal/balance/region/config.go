package region

import "time"

// Config configures a Selector. Zero fields take their defaults.
type Config struct {
	// SiteWait is the estimated wait at the nearest group at which requests start to spill to other
	// data centres of the region. Default 5 ms.
	SiteWait time.Duration
	// RegionWait is the estimated wait at the best group of the region at which requests start to
	// spill to other regions. Default 100 ms.
	RegionWait time.Duration
	// LowWatermark is the share of SiteWait and RegionWait below which the spilled share decreases,
	// 0 to 1. Default 0.5.
	LowWatermark float64
	// StepInterval is the shortest time between two changes of the spilled share. Default 100 ms.
	StepInterval time.Duration
	// StepUp is the amount by which one step increases the spilled share, 0 to 1. Default 0.2.
	StepUp float64
	// StepDown is the amount by which one step decreases the spilled share, 0 to 1. Default 0.05.
	StepDown float64
	// MaxFill is the ratio of taken slots and waiting requests to usable slots at which a group gets
	// no more spilled requests. Default 0.9.
	MaxFill float64
	// MaxFillAge is the age at which a fill is too old for its group to get spilled requests.
	// Default 3 s.
	MaxFillAge time.Duration
	// Burst is the time over which an unused link budget accumulates. Default 1 s.
	Burst time.Duration
}

const (
	defaultSiteWait     = 5 * time.Millisecond
	defaultRegionWait   = 100 * time.Millisecond
	defaultLowWatermark = 0.5
	defaultStepInterval = 100 * time.Millisecond
	defaultStepUp       = 0.2
	defaultStepDown     = 0.05
	defaultMaxFill      = 0.9
	defaultMaxFillAge   = 3 * time.Second
	defaultBurst        = time.Second
)

func (c Config) withDefaults() Config {
	setTime(&c.SiteWait, defaultSiteWait)
	setTime(&c.RegionWait, defaultRegionWait)
	setShare(&c.LowWatermark, defaultLowWatermark)
	setTime(&c.StepInterval, defaultStepInterval)
	setShare(&c.StepUp, defaultStepUp)
	setShare(&c.StepDown, defaultStepDown)
	setShare(&c.MaxFill, defaultMaxFill)
	setTime(&c.MaxFillAge, defaultMaxFillAge)
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
