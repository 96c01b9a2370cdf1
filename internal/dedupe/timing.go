package dedupe

import "time"

// Timing holds the durations of the protocol. A zero field means the default, except for ColdHold,
// where zero means that keys are not held.
type Timing struct {
	// BeginTimeout bounds how long Begin tries to have a run recorded by the holders.
	BeginTimeout time.Duration
	// CallTimeout bounds one request to a holder.
	CallTimeout time.Duration
	// RetryInterval is the pause between two attempts. Pulls of records start with it and back off.
	RetryInterval time.Duration
	// ReportTimeout bounds how long the result of a run is sent to holders that don't reply.
	ReportTimeout time.Duration
	// PullTimeout bounds the pull of records from one host.
	PullTimeout time.Duration
	// GracePeriod is how long a run still counts as in flight after its deadline.
	GracePeriod time.Duration
	// TickInterval is the interval of the background work.
	TickInterval time.Duration
	// PauseThreshold is the time between two readings of the clock beyond which the host counts as
	// paused. It must be shorter than the time after which other hosts declare a member dead.
	PauseThreshold time.Duration
	// ColdHold is how long keys are refused after all hosts of a region were restarted, because
	// nothing is known about earlier runs then.
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
