package quarantine

import (
	"math/rand/v2"
	"time"

	"github.com/bilberryline/bilberryline/internal/clock"
	"github.com/bilberryline/bilberryline/internal/event"
	"github.com/bilberryline/bilberryline/internal/peer"
)

// Method is the peer method that Tracker.Handle serves.
const Method peer.Method = "quarantine"

// Config configures a Tracker.
type Config struct {
	// Self is the id of the local host.
	Self   string
	Clock  clock.Clock
	Peers  peer.Caller
	Events *event.Recorder
	// Rand picks the member that gets the next snapshot.
	Rand   *rand.Rand
	Limits Limits
}

const (
	// flushInterval is the longest time that new evidence waits for the next report to all members. There is at
	// most one early report per interval.
	flushInterval = 50 * time.Millisecond
	// antiEntropyInterval is the time between two snapshots, each of which goes to one member.
	antiEntropyInterval = 10 * time.Second
	// callTimeout bounds one call to a member.
	callTimeout = 300 * time.Millisecond
	// permitRetryInterval is the pause between two attempts to get a permit.
	permitRetryInterval = 20 * time.Millisecond
	// sendAttempts is the maximum number of attempts to send a report to one member.
	sendAttempts = 3
	// sendConcurrency is the maximum number of members that a report is sent to concurrently.
	sendConcurrency = 64
)
