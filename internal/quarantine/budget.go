package quarantine

import (
	"time"

	"golang.org/x/time/rate"
)

// The budgets of the fleet for reports. The share of a host is a fixed part of them, so the sums hold whatever the hosts
// report.
const (
	// fleetMessagesToAllPerS is the number of messages per second that all hubs together send as part of reports to all
	// members. With 120 hosts, a hub can report every 0.63 s.
	fleetMessagesToAllPerS = 3000
	// fleetMessagesToHubsPerS is the number of messages per second that all hosts together send to hubs. With 16 hubs, a
	// hub gets 94 per second.
	fleetMessagesToHubsPerS = 1500
	// fleetBytesPerS is the number of bytes of reports per second that all hosts together send, for each of both kinds.
	fleetBytesPerS = 400_000
	// toAllBurst is the number of reports to all members that a hub may send in a row. Several hosts report a crash, and
	// not all reports arrive in time for the first.
	toAllBurst = 3
	// minToAllBurst is the minimum of this burst in messages, so that a host that has just learned of the fleet can report.
	minToAllBurst = 128
	// toHubsBurst is the number of messages to hubs that a host may send in a row.
	toHubsBurst = 16
	// messageBytes is the mean size in bytes of the messages of a burst.
	messageBytes = 512
	// maxHubReportSize is the maximum size of a report to a hub in bytes.
	maxHubReportSize = 2 << 10
)

// reportBudget limits the messages and bytes of one kind of report of this host.
type reportBudget struct {
	messages *rate.Limiter
	bytes    *rate.Limiter
}

func newReportBudget(burst int) reportBudget {
	return reportBudget{messages: rate.NewLimiter(0, burst), bytes: rate.NewLimiter(0, burst*messageBytes)}
}

// resize sets the share of a host, if so many hosts share the messages and bytes per second, and its burst of messages.
func (b reportBudget) resize(now time.Time, hosts int, fleetMessagesPerS float64, burst int) {
	b.messages.SetLimitAt(now, rate.Limit(fleetMessagesPerS/float64(hosts)))
	b.messages.SetBurstAt(now, burst)
	b.bytes.SetLimitAt(now, rate.Limit(fleetBytesPerS/float64(hosts)))
	b.bytes.SetBurstAt(now, burst*messageBytes)
}

// spend takes n messages of the given size in bytes and reports whether there was enough of both.
func (b reportBudget) spend(now time.Time, n, size int) bool {
	if b.bytes.TokensAt(now) < float64(n*size) {
		return false
	}
	return b.messages.AllowN(now, n) && b.bytes.AllowN(now, n*size)
}

// maxSize returns the size in bytes of the largest message of which a full budget has enough for n.
func (b reportBudget) maxSize(n int) int { return b.bytes.Burst() / max(n, 1) }
