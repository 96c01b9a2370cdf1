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

// Method is the peer method that Keeper.Handle serves.
const Method peer.Method = "drains"

const (
	// tellTimeout bounds one message: a host that runs answers within some milliseconds.
	tellTimeout = 500 * time.Millisecond
	// tellPeriod is the pause before members that were not reached, or are new, are told again. With
	// the timeout it allows three tries in the 3 s after which a leaving target gets no new work.
	tellPeriod = 250 * time.Millisecond
	// tellWidth is the number of members that one sign is sent to at once.
	tellWidth = 8
	// queueLength is the number of signs that wait to be told: all targets of a large service at once.
	queueLength  = 1024
	expirePeriod = time.Second
)

// Config configures a Keeper.
type Config struct {
	Peers  peer.Caller
	View   func() *member.View
	Events *event.Recorder
	Clock  clock.Clock
	// OnChange is called after a target began or ceased to count as leaving.
	OnChange func()
}

// Tracker holds the table of the local host and spreads what the host finds out itself, until each
// member has it. What it hears from others it does not pass on.
type Tracker struct {
	cfg   Config
	table *Table
	news  chan *drainspb.Draining
	// tellers are the signs that are being told.
	tellers sync.WaitGroup
}

// NewTracker returns a keeper with an empty table.
func NewTracker(cfg Config) *Tracker {
	return &Tracker{cfg: cfg, table: NewTable(cfg.Clock), news: make(chan *drainspb.Draining, queueLength)}
}

// Draining tells whether the target is leaving.
func (k *Tracker) Draining(target string) bool { return k.table.Draining(target) }

// MarkDraining notes a sign that the local host has seen. The first sign is told to all members.
func (k *Tracker) MarkDraining(service, target, sign string) {
	if !k.mark(service, target, sign) {
		return
	}
	select {
	case k.news <- &drainspb.Draining{Service: service, Target: target, Sign: sign}:
	default:
		// The others see signs of their own; the lost message only delays them.
		k.cfg.Events.Record(event.TargetUntold, event.Fields{Service: service, Target: target, Detail: "too many signs wait to be told"})
	}
}

func (k *Tracker) mark(service, target, sign string) bool {
	if !k.table.Mark(target) {
		return false
	}
	k.cfg.Events.Record(event.TargetDraining, event.Fields{Service: service, Target: target, Detail: sign})
	k.cfg.OnChange()
	return true
}

// Handle serves one stream of Method.
func (k *Tracker) Handle(_ context.Context, s peer.Stream) {
	var m drainspb.Draining
	if s.Recv(&m) != nil {
		return
	}
	k.mark(m.GetService(), m.GetTarget(), m.GetSign()+", heard from "+s.Remote())
	_ = s.Send(&drainspb.Ack{})
}

// Run tells other hosts and forgets old signs until ctx ends.
func (k *Tracker) Run(ctx context.Context) {
	ticker := time.NewTicker(expirePeriod)
	defer ticker.Stop()
	defer k.tellers.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-k.news:
			t := newTelling(k.cfg, m)
			k.tellers.Go(func() { t.run(ctx) })
		case <-ticker.C:
			k.expire()
		}
	}
}

func (k *Tracker) expire() {
	back := k.table.Expire()
	for _, target := range back {
		k.cfg.Events.Record(event.TargetReturned, event.Fields{Target: target})
	}
	if len(back) > 0 {
		k.cfg.OnChange()
	}
}
