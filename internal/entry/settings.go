package entry

import (
	"net"
	"time"

	"github.com/bilberryline/bilberryline/internal/setting"
)

// Policy names the way targets are chosen.
type Policy string

// Policies.
const (
	// PolicyOwner has the owner of a slot group assign requests to free slots.
	PolicyOwner Policy = "owner"
	// PolicyLeastInFlight draws two targets at random and takes the one with fewer requests of this host in
	// flight.
	PolicyLeastInFlight Policy = "least-in-flight"
	// PolicyRandom takes a random target.
	PolicyRandom Policy = "random"
)

// Settings are the static settings of one entry host.
type Settings struct {
	// ID names the host, unique among the entry hosts.
	ID string
	// Region and Site are the host's location; Site is the data centre.
	Region string
	Site   string
	// Listen, ListenPeer and ListenAdmin are IP addresses with ports.
	Listen      string
	ListenPeer  string
	ListenAdmin string
	// ConfigFile and OverlayFile are the paths of the configuration files, used when there is no store.
	ConfigFile  string
	OverlayFile string
	// StoreURL is the base URL of the key-value service. Empty means no store.
	StoreURL string
	// HostsURL is the URL of the host list. Empty means no host list.
	HostsURL string
	// Peers lists other entry hosts as id=address.
	Peers []string
	// Policy is the way targets are chosen.
	Policy Policy
	// LogFormat is json or console.
	LogFormat string
	// DrainDelay is the time between failing readiness and closing the listener.
	DrainDelay time.Duration
	// ShutdownLimit limits the duration of the whole graceful stop.
	ShutdownLimit time.Duration
	// MaxEntryHosts is the largest number of entry hosts that may run at once. It divides the limits on
	// connections, probes and traffic between regions into equal shares per host.
	MaxEntryHosts int
	// KeyHolders is the number of hosts that must record an idempotency key, 1 or 2.
	KeyHolders int
	// KeyColdHold is how long idempotency keys are refused after all hosts of the region have restarted.
	KeyColdHold time.Duration
	// EventRing is the number of events kept in memory.
	EventRing int
	// MaxBodyBytes limits a single request body and a single response, in bytes.
	MaxBodyBytes int
	// MaxBufferedBytes limits the total size of all buffered request bodies, in bytes.
	MaxBufferedBytes int64
	// MaxConnections limits the number of open connections of callers.
	MaxConnections int
}

// Check returns a *setting.InvalidError for the first invalid setting, or nil.
func (s *Settings) Check() error {
	checks := []struct {
		flag, value, allowed string
		ok                   bool
	}{
		{"id", s.ID, "a non-empty name", s.ID != ""},
		{"listen", s.Listen, "an IP number with port", validAddress(s.Listen)},
		{"listen-peer", s.ListenPeer, "an IP number with port", validAddress(s.ListenPeer)},
		{"listen-admin", s.ListenAdmin, "an IP number with port", validAddress(s.ListenAdmin)},
		{"config", s.ConfigFile, "a file, unless --store-url is set", s.ConfigFile != "" || s.StoreURL != ""},
		{"policy", string(s.Policy), "owner, least-in-flight or random", validPolicy(s.Policy)},
		{"log-format", s.LogFormat, "json or console", s.LogFormat == "json" || s.LogFormat == "console"},
		{"drain-delay", s.DrainDelay.String(), "a duration of 0s or more", s.DrainDelay >= 0},
		{"key-cold-hold", s.KeyColdHold.String(), "a duration of 0s or more", s.KeyColdHold >= 0},
		{"shutdown-limit", s.ShutdownLimit.String(), "a duration above --drain-delay", s.ShutdownLimit > s.DrainDelay},
	}
	for _, c := range checks {
		if !c.ok {
			return setting.Invalid(c.flag, c.value, c.allowed)
		}
	}
	return s.checkNumbers()
}

func (s *Settings) checkNumbers() error {
	checks := []struct {
		flag     string
		value    int64
		min, max int64
	}{
		{"max-entry-hosts", int64(s.MaxEntryHosts), 1, maxEntryHostsLimit},
		{"key-holders", int64(s.KeyHolders), 1, 2},
		{"event-ring", int64(s.EventRing), 1, maxEventRing},
		{"max-body-bytes", int64(s.MaxBodyBytes), 1, maxBodyLimit},
		{"max-buffered-bytes", s.MaxBufferedBytes, 1, maxBufferedLimit},
		{"max-connections", int64(s.MaxConnections), 1, maxConnectionsLimit},
	}
	for _, c := range checks {
		if c.value < c.min || c.value > c.max {
			return invalidNumber(c.flag, c.value, c.min, c.max)
		}
	}
	return nil
}

const (
	maxEntryHostsLimit  = 4096
	maxEventRing        = 1 << 22
	maxBodyLimit        = 1 << 30
	maxBufferedLimit    = 1 << 36
	maxConnectionsLimit = 1 << 20
)

func validPolicy(p Policy) bool {
	return p == PolicyOwner || p == PolicyLeastInFlight || p == PolicyRandom
}

// validAddress reports whether address is an IP address with a port.
func validAddress(address string) bool {
	host, port, err := net.SplitHostPort(address)
	return err == nil && net.ParseIP(host) != nil && port != ""
}
