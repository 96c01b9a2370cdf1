package outlier

import "time"

// Config configures a Detector. Zero fields take their defaults.
type Config struct {
	// MaxEjectedShare is the largest share of the targets that may be ejected at the same time, 0 to 1.
	// The number of targets is rounded down. Default 0.3; a negative value disables ejection, zero does
	// not.
	MaxEjectedShare float64
	// PanicShare is the share of degraded targets at which no target is ejected, because the cause is
	// then probably not in the targets. Default 0.5.
	PanicShare float64
	// ConsecutiveFailures is the number of consecutive failures, of either kind, at which a target is
	// degraded. Default 5.
	ConsecutiveFailures int
	// ConsecutiveConnectionFailures is the number of consecutive refused or broken connections at which a
	// target is degraded. Default 2.
	ConsecutiveConnectionFailures int
	// FailureRateThreshold is the failure rate at which a target is degraded, 0 to 1, if its failure rate
	// is also PeerFactor times that of the group. Default 0.4.
	FailureRateThreshold float64
	// PeerFactor is the smallest ratio of a target's failure rate or slow rate to that of the group at
	// which the target is degraded. Default 3.
	PeerFactor float64
	// SlowLatencyRatio is the LatencyRatio at which a response is slow. Default 3.
	SlowLatencyRatio float64
	// SlowRateThreshold is the share of slow responses at which a target is degraded, 0 to 1, if it is
	// also PeerFactor times that of the group. Default 0.5.
	SlowRateThreshold float64
	// MinResults is the number of results before the failure rate and the slow rate are used. Default 8.
	MinResults int
	// BaseEjectionTime is the duration of the first ejection. Each further ejection doubles it. Default
	// 1 s.
	BaseEjectionTime time.Duration
	// MaxEjectionTime bounds the duration of an ejection. Default 60 s.
	MaxEjectionTime time.Duration
	// BackoffDecayInterval is the time without ejection after which one doubling of the ejection time is
	// undone. Default 30 s.
	BackoffDecayInterval time.Duration
	// ProbationSuccesses is the number of successes that end probation. Default 3.
	ProbationSuccesses int
}

const (
	defaultMaxEjectedShare               = 0.3
	defaultPanicShare                    = 0.5
	defaultConsecutiveFailures           = 5
	defaultConsecutiveConnectionFailures = 2
	defaultFailureRateThreshold          = 0.4
	defaultPeerFactor                    = 3.0
	defaultSlowLatencyRatio              = 3.0
	defaultSlowRateThreshold             = 0.5
	defaultMinResults                    = 8
	defaultBaseEjectionTime              = time.Second
	defaultMaxEjectionTime               = time.Minute
	defaultBackoffDecayInterval          = 30 * time.Second
	defaultProbationSuccesses            = 3
)

func (c Config) withDefaults() Config {
	setFloat(&c.MaxEjectedShare, defaultMaxEjectedShare)
	setFloat(&c.PanicShare, defaultPanicShare)
	setInt(&c.ConsecutiveFailures, defaultConsecutiveFailures)
	setInt(&c.ConsecutiveConnectionFailures, defaultConsecutiveConnectionFailures)
	setFloat(&c.FailureRateThreshold, defaultFailureRateThreshold)
	setFloat(&c.PeerFactor, defaultPeerFactor)
	setFloat(&c.SlowLatencyRatio, defaultSlowLatencyRatio)
	setFloat(&c.SlowRateThreshold, defaultSlowRateThreshold)
	setInt(&c.MinResults, defaultMinResults)
	setTime(&c.BaseEjectionTime, defaultBaseEjectionTime)
	setTime(&c.MaxEjectionTime, defaultMaxEjectionTime)
	setTime(&c.BackoffDecayInterval, defaultBackoffDecayInterval)
	setInt(&c.ProbationSuccesses, defaultProbationSuccesses)
	return c
}

func setFloat(v *float64, d float64) {
	if *v == 0 {
		*v = d
	}
}

func setInt(v *int, d int) {
	if *v <= 0 {
		*v = d
	}
}

func setTime(v *time.Duration, d time.Duration) {
	if *v <= 0 {
		*v = d
	}
}
