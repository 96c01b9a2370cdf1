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
	// permitRetryInterval and maxPermitRetryInterval are the first and the longest pause between two attempts to get a
	// permit. Each attempt may be a message.
	permitRetryInterval    = 20 * time.Millisecond
	maxPermitRetryInterval = 160 * time.Millisecond
	// skipTime is how long a member that didn't answer gets no reports. A snapshot makes up for what it misses.
	skipTime = 2 * time.Second
	// resendInterval is the time between two snapshots to members that missed a report, resendFanout the number of these
	// members that get it.
	resendInterval = time.Second
	resendFanout   = 4
	// maxSnapshotSize is the maximum size of a snapshot in bytes.
	maxSnapshotSize = 8 << 10
	// maxSnapshotClearances is the maximum number of clearances in a snapshot.
	maxSnapshotClearances = 64
	// hubCallTimeout bounds a call to a hub, which answers when it has told the others.
	hubCallTimeout = 450 * time.Millisecond
	// forwardTimeout is the time for which a hub delays its answer until it has told the others.
	forwardTimeout = 300 * time.Millisecond
	// sendConcurrency is the maximum number of members that a report is sent to concurrently.
	sendConcurrency = 64
)
