package peer

import (
	"time"

	"github.com/bilberryline/bilberryline/internal/clock"
	"github.com/bilberryline/bilberryline/internal/event"
)

// Defaults of Config.
const (
	defaultMaxFrameSize    = 4 << 20 // bytes
	defaultDialTimeout     = time.Second
	defaultPingActiveAfter = time.Second
	defaultPingTimeout     = 1500 * time.Millisecond
	defaultPingIdleAfter   = 20 * time.Second
	defaultIdleTimeout     = time.Minute
)

// Config configures a Node.
type Config struct {
	// Self is the id of the local host.
	Self string
	// Incarnation distinguishes restarts of the local host.
	Incarnation uint64
	// Listen is the TCP address on which other entry hosts are accepted. Port 0 selects a free port.
	Listen string
	// Resolve returns the peer address of a host, or false if it is unknown. Open then fails.
	Resolve func(host string) (address string, ok bool)
	// Distance says how far away a host is, for the counters of traffic. It is one of few values. Default: the same for all.
	Distance func(host string) string
	// HybridClock issues and observes the timestamps of frames.
	HybridClock *event.HybridClock
	// Events records unreachable peers and lost or refused sessions.
	Events *event.Recorder
	// Clock drives the dial backoff and the check for unresponsive sessions. Default clock.System.
	Clock clock.Clock
	// MaxFrameSize is the largest frame accepted or sent, in bytes. Default 4 MiB.
	MaxFrameSize int
	// DialTimeout bounds connecting and, separately, the handshake. Default 1 s.
	DialTimeout time.Duration
	// PingActiveAfter is the time without a received byte after which a session with exchanges in progress
	// is pinged. Default 1 s.
	PingActiveAfter time.Duration
	// PingTimeout is the time after which an unanswered ping or a blocked write ends the session.
	// Default 1.5 s.
	PingTimeout time.Duration
	// PingIdleAfter is the time without a received byte after which an unused session is pinged.
	// Default 20 s.
	PingIdleAfter time.Duration
	// IdleTimeout is the time after which an unused session is closed. Default 1 min.
	IdleTimeout time.Duration
}

func (c *Config) setDefaults() {
	if c.Clock == nil {
		c.Clock = clock.System{}
	}
	if c.Distance == nil {
		c.Distance = func(string) string { return "" }
	}
	if c.MaxFrameSize <= 0 {
		c.MaxFrameSize = defaultMaxFrameSize
	}
	setDuration(&c.DialTimeout, defaultDialTimeout)
	setDuration(&c.PingActiveAfter, defaultPingActiveAfter)
	setDuration(&c.PingTimeout, defaultPingTimeout)
	setDuration(&c.PingIdleAfter, defaultPingIdleAfter)
	setDuration(&c.IdleTimeout, defaultIdleTimeout)
}

func setDuration(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}
