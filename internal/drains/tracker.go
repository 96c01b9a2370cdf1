package drains

import (
	"context"
	"sync"
	"time"

	"github.com/bilberryline/bilberryline/internal/clock"
	"github.com/bilberryline/bilberryline/internal/drains/drainspb"
	"github.com/bilberryline/bilberryline/internal/event"
	"github.com/bilberryline/bilberryline/internal/member"
	"github.com/bilberryline/bilberryline/internal/peer"
)

// Method is the peer method that Tracker.Handle serves.
const Method peer.Method = "drains"

const (
	// callTimeout bounds one message to a member. A running host answers within a few milliseconds.
	callTimeout = 500 * time.Millisecond
	// resendInterval is the pause before an announcement is sent to the members that don't have it, because they
	// were not reached or are new. Together with sendTimeout it allows three attempts within the 3 s after which
	// a draining target must get no new work.
	resendInterval = 250 * time.Millisecond
	// sendConcurrency is the maximum number of members that one announcement is sent to concurrently.
	sendConcurrency = 8
	// maxQueuedAnnouncements bounds the announcements that wait to be sent. It is enough for all targets of a
	// large service at once.
	maxQueuedAnnouncements = 1024
	// expiryInterval is the time between two searches for expired signs.
	expiryInterval = time.Second
)

// Config configures a Tracker.
type Config struct {
	Peers  peer.Caller
	View   func() *member.View
	Events *event.Recorder
	Clock  clock.Clock
	// OnChange is called after the set of draining targets has changed.
	OnChange func()
}

// Tracker tracks which targets are draining. It announces the signs that the local host detects to all members and
// retries until each has acknowledged them. It does not forward the announcements of other hosts. It is safe for
// concurrent use.
type Tracker struct {
	cfg           Config
	table         *Table
	announcements chan *drainspb.Draining
	// broadcasts counts the running broadcasts.
	broadcasts sync.WaitGroup
}

// NewTracker returns a Tracker without draining targets.
func NewTracker(cfg Config) *Tracker {
	return &Tracker{cfg: cfg, table: NewTable(cfg.Clock), announcements: make(chan *drainspb.Draining, maxQueuedAnnouncements)}
}

// Draining reports whether the target is draining.
func (t *Tracker) Draining(target string) bool { return t.table.Draining(target) }

// MarkDraining records a sign of draining that the local host has detected. The sign is announced to all members
// unless the target is already known to be draining.
func (t *Tracker) MarkDraining(service, target, sign string) {
	if !t.mark(service, target, sign) {
		return
	}
	select {
	case t.announcements <- &drainspb.Draining{Service: service, Target: target, Sign: sign}:
	default:
		// The other hosts detect signs on their own; without the announcement they do so later.
		t.cfg.Events.Record(event.TargetUntold, event.Fields{Service: service, Target: target, Detail: "too many announcements wait to be sent"})
	}
}

// mark records a sign and reports whether the target was not draining before.
func (t *Tracker) mark(service, target, sign string) bool {
	if !t.table.Mark(target) {
		return false
	}
	t.cfg.Events.Record(event.TargetDraining, event.Fields{Service: service, Target: target, Detail: sign})
	t.cfg.OnChange()
	return true
}

// Handle receives one announcement. It is a peer.Handler.
func (t *Tracker) Handle(_ context.Context, s peer.Stream) {
	var m drainspb.Draining
	if s.Recv(&m) != nil {
		return
	}
	t.mark(m.GetService(), m.GetTarget(), m.GetSign()+", reported by "+s.Remote())
	_ = s.Send(&drainspb.Ack{})
}

// Run sends announcements and expires signs until ctx ends. It returns after all broadcasts have ended.
func (t *Tracker) Run(ctx context.Context) {
	ticker := time.NewTicker(expiryInterval)
	defer ticker.Stop()
	defer t.broadcasts.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-t.announcements:
			b := newBroadcast(t.cfg, m)
			t.broadcasts.Go(func() { b.run(ctx) })
		case <-ticker.C:
			t.expire()
		}
	}
}

func (t *Tracker) expire() {
	expired := t.table.Expire()
	for _, target := range expired {
		t.cfg.Events.Record(event.TargetReturned, event.Fields{Target: target})
	}
	if len(expired) > 0 {
		t.cfg.OnChange()
	}
}
