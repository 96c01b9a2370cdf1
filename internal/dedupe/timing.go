package dedupe

import "time"

// Timing holds the durations of the protocol. A zero field means the default, ColdHold excepted.
type Timing struct {
	// BeginTimeout bounds how long BeginTimeout tries to reach an agreement with the holders.
	BeginTimeout time.Duration
	// CallTimeout bounds one exchange with a holder.
	CallTimeout time.Duration
	// RetryInterval is the pause between two tries.
	RetryInterval time.Duration
	// ReportTimeout bounds how long the result of a run is offered to holders that don't answer.
	ReportTimeout time.Duration
	// PullTimeout bounds one exchange of records.
	PullTimeout time.Duration
	// GracePeriod is how long after its deadline a run still counts as in flight.
	GracePeriod time.Duration
	// TickInterval is the period of the background work.
	TickInterval time.Duration
	// PauseThreshold is the time between two looks at the clock beyond which the host counts as paused. It
	// must be shorter than the time after which other hosts believe a member dead.
	PauseThreshold time.Duration
	// ColdHold is how long keys are refused after all hosts of a region started anew, as nothing is
	// known of earlier runs then.
	ColdHold time.Duration
}

const (
	defaultBeginTimeout   = time.Second
	defaultCallTimeout    = 250 * time.Millisecond
	defaultRetryInterval  = 10 * time.Millisecond
	defaultReportTimeout  = 5 * time.Second
	defaultPullTimeout    = 2 * time.Second
	defaultGracePeriod    = 2 * time.Second
	defaultTickInterval   = 100 * time.Millisecond
	defaultPauseThreshold = time.Second
)

func (t Timing) withDefaults() Timing {
	set := func(field *time.Duration, value time.Duration) {
		if *field <= 0 {
			*field = value
		}
	}
	set(&t.BeginTimeout, defaultBeginTimeout)
	set(&t.CallTimeout, defaultCallTimeout)
	set(&t.RetryInterval, defaultRetryInterval)
	set(&t.ReportTimeout, defaultReportTimeout)
	set(&t.PullTimeout, defaultPullTimeout)
	set(&t.GracePeriod, defaultGracePeriod)
	set(&t.TickInterval, defaultTickInterval)
	set(&t.PauseThreshold, defaultPauseThreshold)
	return t
}
