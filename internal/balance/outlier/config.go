package outlier

import "time"

// Config configures a Detector. Zero fields take their defaults.
type Config struct {
	// MaxEjectedShare is the largest share of the targets that may be ejected at once, 0 to 1. The
	// number is rounded down. Default 0.3; a negative value switches ejection off, zero does not.
	MaxEjectedShare float64
	// PanicShare is the share of targets that look bad from which on none is ejected, because the
	// cause is then likely not theirs. Default 0.5.
	PanicShare float64
	// ConsecutiveFailures is the number of failures in a row that eject a target. Default 5.
	ConsecutiveFailures int
	// ConsecutiveConnectionFailures is the number of refused or broken connections in a row that eject a
	// target. Default 2.
	ConsecutiveConnectionFailures int
	// FailureRateThreshold is the share of recent answers that failed from which on a target looks bad, if
	// it is also FailureRatio times the group's share. Default 0.4.
	FailureRateThreshold float64
	// PeerFactor is how much worse than the group a target's failure share must be. Default 3.
	PeerFactor float64
	// SlowLatencyRatio is the ratio of running time to the usual one from which on an answer is slow.
	// Default 3.
	SlowLatencyRatio float64
	// SlowRateThreshold is the share of recent answers that were slow from which on a target looks bad, if it
	// is also FailureRatio times the group's share. Default 0.5.
	SlowRateThreshold float64
	// MinResults is the number of answers before rates and slowness count. Default 8.
	MinResults int
	// BaseEjectionTime is the first ejection time; each further ejection doubles it. Default 1 s.
	BaseEjectionTime time.Duration
	// MaxEjectionTime bounds the ejection time. Default 60 s.
	MaxEjectionTime time.Duration
	// BackoffDecayInterval is the time without ejection that takes back one doubling. Default 30 s.
	BackoffDecayInterval time.Duration
	// ProbationSuccesses is the number of good answers that end probation. Default 3.
	ProbationSuccesses int
}

const (
	defaultMaxEjectedShare   = 0.3
	defaultPanicShare        = 0.5
	defaultConsecutive       = 5
	defaultConsecutiveBroken = 2
	defaultFailureRate       = 0.4
	defaultFailureRatio      = 3.0
	defaultSlowness          = 3.0
	defaultSlowRate          = 0.5
	defaultMinAnswers        = 8
	defaultBaseTime          = time.Second
	defaultMaxTime           = time.Minute
	defaultForget            = 30 * time.Second
	defaultProbationAnswers  = 3
)

func (c Config) withDefaults() Config {
	setFloat(&c.MaxEjectedShare, defaultMaxEjectedShare)
	setFloat(&c.PanicShare, defaultPanicShare)
	setInt(&c.ConsecutiveFailures, defaultConsecutive)
	setInt(&c.ConsecutiveConnectionFailures, defaultConsecutiveBroken)
	setFloat(&c.FailureRateThreshold, defaultFailureRate)
	setFloat(&c.PeerFactor, defaultFailureRatio)
	setFloat(&c.SlowLatencyRatio, defaultSlowness)
	setFloat(&c.SlowRateThreshold, defaultSlowRate)
	setInt(&c.MinResults, defaultMinAnswers)
	setTime(&c.BaseEjectionTime, defaultBaseTime)
	setTime(&c.MaxEjectionTime, defaultMaxTime)
	setTime(&c.BackoffDecayInterval, defaultForget)
	setInt(&c.ProbationSuccesses, defaultProbationAnswers)
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
