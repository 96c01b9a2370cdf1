package harness

import (
	"github.com/bilberryline/bilberryline/internal/config"
	"github.com/bilberryline/bilberryline/internal/standin/backend"
)

// Options configure a cluster.
type Options struct {
	// Bin is the directory of the commands.
	Bin Binaries
	// Dir is the directory of logs and configuration. Empty means a temporary directory, which Close removes.
	Dir string
	// IP is the loopback IP address of all listeners. Empty means 127.0.0.1.
	IP string
	// Example is the name of the example configuration: potcoava or pinselwerk.
	Example string
	// Entries is the number of entry hosts.
	Entries int
	// HomeRegion, if not empty, is the region of all entry hosts and the home region of all callers. Even with
	// few entry hosts, an idempotency key can then have two holders.
	HomeRegion string
	// Policy is the value of --policy. Empty means the default.
	Policy string
	// FromStore makes the entry hosts read their configuration from the key-value service instead of from
	// files.
	FromStore bool
	// ProxyTargets puts a fault proxy in front of each backend server.
	ProxyTargets bool
	// ProxyStore puts a fault proxy in front of the key-value service.
	ProxyStore bool
	// Adjust modifies the declaration and the backend servers before the start. It may be nil.
	Adjust func(*config.Declaration, []backend.Config)
	// EntryArgs are additional command-line arguments of each entry host.
	EntryArgs []string
}
