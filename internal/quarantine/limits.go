package quarantine

import "time"

// Limits holds the thresholds, time windows and table sizes of a Tracker. A zero field means the default.
type Limits struct {
	// Retention is how long evidence is kept, and how long an entry lives after its latest crash.
	Retention time.Duration
	// BreakWindow is the time before the detection of a crash within which a broken connection makes a request
	// a suspect.
	BreakWindow time.Duration
	// ResponseWindow is how long a response to the same request keeps it from becoming a suspect.
	ResponseWindow time.Duration
	// CorrelationWindow is the time within which reports on one target count as one crash, and crashes of a
	// service count as one event.
	CorrelationWindow time.Duration
	// MaxCandidates is the maximum number of requests of a service that are quarantined for crashes within
	// CorrelationWindow. If there are more candidates, none of them is quarantined.
	MaxCandidates int
	// MinScore is the lowest Entry.Score at which a request is quarantined.
	MinScore float64
	// MaxCrashes, MaxSuspects and MaxClearances bound the tables: the number of crashes, of requests per
	// crash, and of clearances.
	MaxCrashes    int
	MaxSuspects   int
	MaxClearances int
	// PermitTTL is how long a host may hold the permit for a suspected request.
	PermitTTL time.Duration
	// PermitLinger is how long a permit is held after the request's connection broke, so that a crash of
	// the server is detected before the request runs again.
	PermitLinger time.Duration
}

const (
	defaultRetention         = 10 * time.Minute
	defaultBreakWindow       = 5 * time.Second
	defaultResponseWindow    = 30 * time.Second
	defaultCorrelationWindow = 10 * time.Second
	defaultMaxCandidates     = 4
	defaultMinScore          = 0.1
	defaultMaxCrashes        = 256
	defaultMaxSuspects       = 32
	defaultMaxClearances     = 1024
	defaultPermitTTL         = time.Minute
	defaultPermitLinger      = 3 * time.Second
)

func (l Limits) withDefaults() Limits {
	l.Retention = orDefault(l.Retention, defaultRetention)
	l.BreakWindow = orDefault(l.BreakWindow, defaultBreakWindow)
	l.ResponseWindow = orDefault(l.ResponseWindow, defaultResponseWindow)
	l.CorrelationWindow = orDefault(l.CorrelationWindow, defaultCorrelationWindow)
	l.MaxCandidates = orDefault(l.MaxCandidates, defaultMaxCandidates)
	l.MinScore = orDefault(l.MinScore, defaultMinScore)
	l.MaxCrashes = orDefault(l.MaxCrashes, defaultMaxCrashes)
	l.MaxSuspects = orDefault(l.MaxSuspects, defaultMaxSuspects)
	l.MaxClearances = orDefault(l.MaxClearances, defaultMaxClearances)
	l.PermitTTL = orDefault(l.PermitTTL, defaultPermitTTL)
	l.PermitLinger = orDefault(l.PermitLinger, defaultPermitLinger)
	return l
}

func orDefault[T int | float64 | time.Duration](value, fallback T) T {
	if value <= 0 {
		return fallback
	}
	return value
}
