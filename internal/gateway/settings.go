package gateway

import (
	"time"

	"github.com/bilberryline/bilberryline/internal/setting"
)

// Settings are the settings of a gateway that don't change while it runs.
type Settings struct {
	// ID names the host; Site and Region place it.
	ID     string
	Site   string
	Region string
	// RegionOf holds the region of each data centre.
	RegionOf map[string]string
	// Listen is the address for callers.
	Listen string
	// MaxHosts is the largest number of entry hosts that is planned for; what all hosts share is
	// divided by it.
	MaxHosts int
	// RetryRatio and RetrySlack bound second sends to a service: the ratio to its requests, and the
	// number in a window that is allowed beyond it, for all hosts together.
	RetryRatio float64
	RetrySlack float64
	// ProbesPerSecond bounds the probes of one backend server, for all hosts together.
	ProbesPerSecond float64
	// Policy chooses backend servers.
	Policy Policy
	// MaxBodyBytes bounds the body of a request and of an answer. MaxConnections bounds callers'
	// connections.
	MaxBodyBytes   int
	MaxConnections int
	// DrainDelay is the time between failing readiness and closing the listener.
	DrainDelay time.Duration
	// ShutdownLimit bounds a graceful stop.
	ShutdownLimit time.Duration
}

// Check returns an error for the first setting that is not allowed.
func (s *Settings) Check() error {
	switch {
	case s.ID == "":
		return setting.Invalid("id", s.ID, "a name")
	case s.Site == "" || s.Region == "":
		return setting.Invalid("site", s.Site, "a data centre, and its region")
	case s.Listen == "":
		return setting.Invalid("listen", s.Listen, "an IP number and a port")
	case !s.Policy.valid():
		return setting.Invalid("policy", string(s.Policy), "expected, least-in-flight or random")
	case s.MaxHosts < 1:
		return setting.Invalid("max-entry-hosts", "", "a number from 1")
	case s.RetryRatio < 0 || s.RetrySlack < 0 || s.ProbesPerSecond <= 0:
		return setting.Invalid("retry-ratio, retry-slack, probes-per-second", "", "figures of zero or more")
	case s.ShutdownLimit <= s.DrainDelay:
		return setting.Invalid("shutdown-limit", s.ShutdownLimit.String(), "more than the drain delay of "+s.DrainDelay.String())
	}
	return nil
}
