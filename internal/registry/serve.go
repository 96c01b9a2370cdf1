package registry

import (
	"context"
	"math"
	"time"

	"github.com/bilberryline/bilberryline/internal/event"
	"github.com/bilberryline/bilberryline/internal/peer"
	"github.com/bilberryline/bilberryline/internal/registry/registrypb"
)

// subscriber is a follower that this host serves. Its fields are guarded by Registry.mu.
type subscriber struct {
	position     Revision // store revision up to which the follower knows all changes
	full         bool     // the next update must be a full one
	started      bool     // at least one update has been sent
	sentSequence uint64   // number of the newest local change sent to the follower
	changed      chan struct{}
	version      uint64 // version of the follower's configuration when it subscribed; 0 if it has none or doesn't say it
	host         Host   // the follower; its id is empty if its build doesn't say it
}

// HandleFollow serves one follower until it disconnects. It is a peer.Handler. A follower that doesn't read is
// dropped when its peer session fails.
func (r *Registry) HandleFollow(ctx context.Context, s peer.Stream) {
	req := &registrypb.Follow{}
	if err := s.Recv(req); err != nil {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		// The follower sends nothing more, so Recv returns only when the stream ends.
		_ = s.Recv(&registrypb.Follow{})
		cancel()
	}()
	if to, ok := r.redirect(req); ok {
		_ = s.Send(&registrypb.Update{Redirect: HostToProto(&to)})
		return
	}
	sub := r.subscribe(Revision{req.Era, req.Position})
	sub.version = req.ConfigurationVersion
	if req.Self != nil {
		r.nameSubscriber(sub, HostFromProto(req.Self))
	}
	defer r.unsubscribe(sub)
	for ctx.Err() == nil {
		if err := s.Send(r.nextUpdate(sub)); err != nil {
			r.cfg.Events.Record(event.RegistryFollowerLost, event.Fields{Peer: s.Remote(), Detail: err.Error()})
			return
		}
		select {
		case <-ctx.Done():
		case <-sub.changed:
		case <-r.cfg.Clock.After(r.timing.heartbeat):
		}
	}
}

// HandleStatus answers a status query with the registry's freshness. It is a peer.Handler for single calls.
func (r *Registry) HandleStatus(_ context.Context, s peer.Stream) {
	if err := s.Recv(&registrypb.Follow{}); err != nil {
		return
	}
	f := r.Freshness()
	u := &registrypb.Update{Position: f.Position.Number, Era: f.Position.Era, AgeMs: ageMs(r.cfg.Clock.Now(), f.ConfirmedAt), Direct: f.Direct, Relay: f.Relay, Hops: uint32(f.Hops)}
	if f.Relay {
		u.Source = f.Source
	}
	if err := s.Send(u); err != nil {
		r.cfg.Events.Record(event.RegistryFollowerLost, event.Fields{Peer: s.Remote(), Detail: err.Error()})
	}
}

func (r *Registry) subscribe(position Revision) *subscriber {
	r.mu.Lock()
	defer r.mu.Unlock()
	sub := &subscriber{position: position, changed: make(chan struct{}, 1)}
	r.subscribers[sub] = struct{}{}
	return sub
}

func (r *Registry) nameSubscriber(sub *subscriber, h Host) {
	r.mu.Lock()
	sub.host = h
	r.mu.Unlock()
}

func (r *Registry) unsubscribe(sub *subscriber) {
	r.mu.Lock()
	delete(r.subscribers, sub)
	r.mu.Unlock()
}

// notifyLocked wakes the goroutines that serve followers.
func (r *Registry) notifyLocked() {
	for sub := range r.subscribers {
		select {
		case sub.changed <- struct{}{}:
		default:
		}
	}
}

// nextUpdate returns an update with the changes that the follower doesn't have yet. It is a full update if removals
// that the follower may not know are missing from the history.
func (r *Registry) nextUpdate(sub *subscriber) *registrypb.Update {
	now := r.cfg.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	sub.full = sub.full || !sub.started && sub.position.IsZero() || r.historyStart.After(sub.position)
	u := &registrypb.Update{
		Position: r.freshness.Position.Number,
		Era:      r.freshness.Position.Era,
		AgeMs:    ageMs(now, r.freshness.ConfirmedAt),
		Direct:   r.freshness.Direct,
		Relay:    r.freshness.Relay,
		Hops:     uint32(r.hopsLocked()),
		// The follower must know of an outage of the store when it turns to the store itself.
		StoreFailed: r.freshness.StoreFailed,
		// A host without a position has no state yet, so its followers must not remove what it lacks.
		Whole: sub.full && !r.freshness.Position.IsZero(),
	}
	if r.evacuationsPosition.Era == r.freshness.Position.Era {
		u.EvacuationsPosition = r.evacuationsPosition.Number
	}
	if u.Whole {
		u.Packed = r.packRecordsLocked(now)
		u.HistoryStart = r.historyStart.Number
	} else {
		r.addMissingLocked(u, sub, now)
		r.packChangesLocked(u, sub, now)
	}
	behind := !sub.started && sub.version > 0 && r.routes != nil && sub.version < r.routes.Version
	if c := r.configurationProto; c != nil && (behind || sub.needs(r.configuration.Revision, r.configurationSequence, false)) {
		u.Configuration = c
	}
	sub.full = sub.full && !u.Whole
	sub.started = true
	sub.sentSequence = r.sequence
	sub.position = later(sub.position, r.completeToLocked())
	if u.Whole {
		sub.position = later(sub.position, r.historyStart)
	}
	return u
}

// hopsLocked returns the number of hosts between this host and the store.
func (r *Registry) hopsLocked() int {
	if r.freshness.Direct {
		return 0
	}
	return r.freshness.Hops
}

// addMissingLocked adds the targets, hosts and evacuations that the follower doesn't have yet.
func (r *Registry) addMissingLocked(u *registrypb.Update, sub *subscriber, now time.Time) {
	for _, t := range r.targets {
		if sub.needs(t.Revision, t.sequence, t.Removed) {
			u.Targets = append(u.Targets, targetToProto(&t.Target, now))
		}
	}
	for _, h := range r.hosts {
		if sub.needs(h.Revision, h.sequence, h.Removed) {
			u.Hosts = append(u.Hosts, hostToProto(&h.Host, now))
		}
	}
	for _, e := range r.evacuations {
		if sub.needs(e.Revision, e.sequence, e.Removed) {
			u.Evacuations = append(u.Evacuations, evacuationToProto(&e.Evacuation, now))
		}
	}
}

// needs reports whether a record must be sent to the follower.
func (s *subscriber) needs(revision Revision, sequence uint64, removed bool) bool {
	if s.full {
		return !removed || sequence > s.sentSequence
	}
	if !s.started {
		return !s.position.After(revision)
	}
	return sequence > s.sentSequence
}

// ageMs returns the age of a confirmation in milliseconds, or the largest value when there was none.
func ageMs(now, confirmedAt time.Time) uint32 {
	if confirmedAt.IsZero() {
		return math.MaxUint32
	}
	return uint32(min(max(now.Sub(confirmedAt).Milliseconds(), 0), math.MaxUint32))
}
