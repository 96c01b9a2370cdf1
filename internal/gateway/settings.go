package gateway

import (
	"time"

	"github.com/bilberryline/bilberryline/internal/setting"
)

// Settings holds the settings of a gateway that don't change while it runs.
type Settings struct {
	// ID is the name of the host, Site its data centre and Region its region.
	ID     string
	Site   string
	Region string
	// RegionOf maps each data centre to its region.
	RegionOf map[string]string
	// Listen is the listen address for callers.
	Listen string
	// MaxEntryHosts is the planned maximum number of entry hosts. The resends of a service and the connections to a
	// backend server are divided among that many hosts, or among the actual number plus a reserve if that is larger.
	MaxEntryHosts int
	// RetryRatio and RetrySlack limit the resends (retries and hedges) of a service by all hosts together: RetryRatio
	// is the number of resends per request, RetrySlack the number allowed beyond that in a window.
	RetryRatio float64
	RetrySlack float64
	// RetryWindow is the length of the windows in which the resends are limited.
	RetryWindow time.Duration
	// ProbesPerSecond is the maximum rate of probes of one backend server by all hosts together.
	ProbesPerSecond float64
	// Policy is the load balancing policy.
	Policy Policy
	// MaxBodyBytes is the maximum size of the body of a request or response, MaxConnections the maximum number of
	// callers' connections.
	MaxBodyBytes   int
	MaxConnections int
	// MaxBufferedBytes is the maximum number of bytes of requests, and likewise of responses, that are held at the same
	// time. Zero means 512 MiB.
	MaxBufferedBytes int64
	// PropagationLimit is the time within which all hosts must know a change of the store.
	PropagationLimit time.Duration
	// WarmUpExcess and WarmUpSlack limit the requests that all hosts together send to a cold backend server in a second:
	// WarmUpExcess times the service's rate for cold servers, plus WarmUpSlack.
	WarmUpExcess float64
	WarmUpSlack  float64
	// QuotaWindow, QuotaExcess and QuotaSlack limit the requests of a workspace that all hosts together send in a window:
	// rate times QuotaWindow plus burst, times 1 + QuotaExcess, plus QuotaSlack. A QuotaWindow of zero means that quotas
	// are not enforced.
	QuotaWindow time.Duration
	QuotaExcess float64
	QuotaSlack  float64
	// DrainDelay is the time from failing the readiness check to closing the listener.
	DrainDelay time.Duration
	// ShutdownLimit is the maximum duration of a graceful shutdown.
	ShutdownLimit time.Duration
}

// Check returns an error for the first invalid setting, or nil.
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
	case s.MaxEntryHosts < 1:
		return setting.Invalid("max-entry-hosts", "", "a number from 1")
	case s.PropagationLimit <= 0:
		return setting.Invalid("drain-limit, config-limit", s.PropagationLimit.String(), "more than 0s")
	case s.RetryWindow <= 0:
		return setting.Invalid("retry-window", s.RetryWindow.String(), "more than 0s")
	case s.RetryRatio < 0 || s.RetrySlack < 0 || s.ProbesPerSecond <= 0:
		return setting.Invalid("retry-ratio, retry-slack, probes-per-second", "", "numbers of zero or more")
	case s.WarmUpExcess < 0 || s.WarmUpSlack < 0:
		return setting.Invalid("warm-up-excess, warm-up-slack", "", "numbers of zero or more")
	case s.QuotaWindow < 0 || s.QuotaExcess < 0 || s.QuotaSlack < 0:
		return setting.Invalid("quota-window, quota-excess, quota-slack", "", "a duration and numbers of zero or more")
	case s.ShutdownLimit <= s.DrainDelay:
		return setting.Invalid("shutdown-limit", s.ShutdownLimit.String(), "more than the drain delay of "+s.DrainDelay.String())
	}
	return nil
}
