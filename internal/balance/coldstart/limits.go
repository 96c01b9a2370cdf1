package coldstart

import (
	"math"
	"time"
)

const (
	// maxViews is the number of hosts that may send to a cold server at the same time, each because it believes to be the
	// only one, without exceeding the limit. minViews is accepted where the limit leaves no room for more.
	maxViews = 3
	minViews = 2
	// spacingMargin keeps requests that are meant to be sent in different seconds from being counted in the same one.
	spacingMargin = 1.02
)

// Limits restricts the requests that all hosts together send to a cold server.
type Limits struct {
	// Rate is the number of requests per second that a cold server bears. It is positive.
	Rate float64
	// Excess and Slack are the limit for any second: Excess times Rate, plus Slack.
	Excess float64
	Slack  float64
}

// Bound returns the largest number of requests in any second.
func (l Limits) Bound() float64 { return l.Excess*l.Rate + l.Slack }

// Spacing returns the shortest time between two requests of one host to a cold server. It is at least 1 / Rate, and so
// long that several hosts at once stay within the limit. ok is false if the limit is too small for two of them: then cold
// servers get no requests.
func (l Limits) Spacing() (spacing time.Duration, ok bool) {
	perHost := math.Floor(l.Bound() / maxViews)
	if perHost < 1 {
		perHost = math.Floor(l.Bound() / minViews)
	}
	if perHost < 1 || l.Rate <= 0 {
		return 0, false
	}
	seconds := max(1/l.Rate, spacingMargin/perHost)
	return time.Duration(math.Ceil(seconds * float64(time.Second))), true
}
