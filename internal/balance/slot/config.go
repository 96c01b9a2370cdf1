package slot

import (
	"time"

	"github.com/bilberryline/bilberryline/internal/balance/limit"
	"github.com/bilberryline/bilberryline/internal/balance/outlier"
	"github.com/bilberryline/bilberryline/internal/balance/queue"
)

// Config configures a Group. Zero fields take their defaults.
type Config struct {
	// Queue configures the queue: its length, the shares of the classes and how long requests may wait.
	Queue queue.Config
	// Limit configures the adaptive concurrency limit of each target.
	Limit limit.Config
	// Outlier configures the ejection of outliers, including MaxEjectedShare.
	Outlier outlier.Config
	// Overcommit is the number of requests that a target may run beyond its slots. Default 0.
	Overcommit int
	// SlowStartWindow is the time over which an added target ramps up to all of its slots. Default 5 s; a
	// negative value disables the slow start.
	SlowStartWindow time.Duration
	// ScanLimit is the largest number of targets with a free slot that are all compared for a request. Beyond
	// it, two of them are drawn at random. Default 24.
	ScanLimit int
	// LongFactor is the ratio of a request's expected cost to the lower quartile of the group's running times
	// above which the request counts as long. Default 10.
	LongFactor float64
	// AbandonTimeout is the longest time that the slot of an abandoned grant stays taken. Default 2 s.
	AbandonTimeout time.Duration
	// DrainNoticeTTL is how long a target that announced that it drains gets no new work, unless Undrain is
	// called earlier. Default 5 min.
	DrainNoticeTTL time.Duration
	// ReportHalfLife is the age at which a load report counts half in the score. Default 100 ms.
	ReportHalfLife time.Duration
	// SlownessHalfLife is the time after the last answer at which a target's slowness counts half. Default 2 s.
	SlownessHalfLife time.Duration
	// MaxRoutes is the number of routes whose running times are tracked separately. Default 256.
	MaxRoutes int
}

const (
	defaultSlowStartWindow  = 5 * time.Second
	defaultScanLimit        = 24
	defaultLongFactor       = 10.0
	defaultAbandonTimeout   = 2 * time.Second
	defaultDrainNoticeTTL   = 5 * time.Minute
	defaultReportHalfLife   = 100 * time.Millisecond
	defaultSlownessHalfLife = 2 * time.Second
)

func (c Config) withDefaults() Config {
	if c.SlowStartWindow == 0 {
		c.SlowStartWindow = defaultSlowStartWindow
	}
	if c.ScanLimit <= 0 {
		c.ScanLimit = defaultScanLimit
	}
	if c.LongFactor <= 1 {
		c.LongFactor = defaultLongFactor
	}
	if c.AbandonTimeout <= 0 {
		c.AbandonTimeout = defaultAbandonTimeout
	}
	if c.DrainNoticeTTL <= 0 {
		c.DrainNoticeTTL = defaultDrainNoticeTTL
	}
	if c.ReportHalfLife <= 0 {
		c.ReportHalfLife = defaultReportHalfLife
	}
	if c.SlownessHalfLife <= 0 {
		c.SlownessHalfLife = defaultSlownessHalfLife
	}
	return c
}
