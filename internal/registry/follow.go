package registry

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/bilberryline/bilberryline/internal/event"
	"github.com/bilberryline/bilberryline/internal/peer"
	"github.com/bilberryline/bilberryline/internal/registry/registrypb"
)

// follow merges the updates of a host until they time out, the host loses the store or ctx ends. The host must
// watch the store itself unless it is followed as a relay.
func (r *Registry) follow(ctx context.Context, id string, asRelay bool) error {
	s, err := r.openFollow(ctx, id, r.completeTo())
	if err != nil {
		return err
	}
	defer func() { go s.Close() }() // blocks while the session's connection has stalled
	stop := context.AfterFunc(ctx, func() { _ = s.SetDeadline(time.Now()) })
	defer stop()
	for first := true; ; first = false {
		b, err := r.receive(s)
		if err == nil && b.Redirect != nil {
			return &redirectError{*b.Redirect}
		}
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
		if err != nil {
			return err
		}
		b.Sender = id
		if err := r.checkEra(b.Position); err != nil {
			return err
		}
		r.Merge(b)
		if err := r.checkSource(b, asRelay, r.cfg.Clock.Now()); err != nil {
			return err
		}
		r.setSource(id, &b)
		r.wakeFollowers()
		if first {
			r.cfg.Events.Record(event.RegistryFollowing, event.Fields{Peer: id, Revision: b.Position.Number, Detail: r.describeSource(id, &b)})
		}
	}
}

// describeSource tells how current a followed host is, and why this host follows one of another region.
func (r *Registry) describeSource(id string, b *Batch) string {
	text := fmt.Sprintf("confirmed %dms ago", ageMs(r.cfg.Clock.Now(), b.ConfirmedAt))
	if r.DistanceTo(id) != distanceOther {
		return text
	}
	if len(r.relays()) == 0 {
		return text + "; in another region, as this host is a relay of its own"
	}
	return text + "; in another region, as no relay of the own one has the state"
}

// receive reads one update. It fails when none arrives within updateTimeout.
func (r *Registry) receive(s peer.Stream) (Batch, error) {
	if err := s.SetDeadline(time.Now().Add(r.timing.updateTimeout)); err != nil {
		return Batch{}, err
	}
	u := &registrypb.Update{}
	received := make(chan error, 1)
	go func() { received <- s.Recv(u) }()
	select {
	case err := <-received:
		if err != nil {
			return Batch{}, errUpdateTimeout
		}
		return batchFromProto(u, r.cfg.Clock.Now())
	case <-time.After(r.timing.updateTimeout + recvMargin):
		return Batch{}, errUpdateTimeout // the session's connection has stalled, so that Recv misses its deadline
	}
}

// recvMargin is the time that Recv may take to return after its deadline.
const recvMargin = 100 * time.Millisecond

// checkSource returns an error when the sender of the update must not be followed any longer.
func (r *Registry) checkSource(b Batch, asRelay bool, now time.Time) error {
	limit := r.timing.staleAfter
	switch {
	case asRelay && (b.Direct || b.Hops == 1):
		limit = r.timing.regionRelayStaleAfter
	case asRelay:
		limit = r.timing.relayStaleAfter
	}
	switch {
	case !b.Direct && (!asRelay || !b.Relay):
		return errNotDirect
	case now.Sub(b.ConfirmedAt) > limit:
		return errStale
	}
	return nil
}

func (r *Registry) setSource(id string, b *Batch) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.freshness.Source, r.freshness.Hops = id, 1
	if !b.Direct {
		r.freshness.Hops = max(b.Hops, 1) + 1
	}
	r.freshness.Relay = r.freshness.Hops <= maxRelayHops
}

// wakeFollowers passes a confirmation of the store on at once. Its age would grow with each host on the way otherwise.
func (r *Registry) wakeFollowers() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.notifyLocked()
}

// watchesStore asks a host whether it watches the store itself and is up to date.
func (r *Registry) watchesStore(ctx context.Context, id string) bool {
	return r.isSource(r.queryStatus(ctx, id))
}

// isSource reports whether a host with the given status watches the store itself and is up to date.
func (r *Registry) isSource(u *registrypb.Update) bool {
	return u.Direct && time.Duration(u.AgeMs)*time.Millisecond < r.timing.staleAfter && r.isOfLatestEra(u)
}

// isOfLatestEra reports whether a host with the given status is in the newest era of the store that is known.
func (r *Registry) isOfLatestEra(u *registrypb.Update) bool {
	r.observeEra(u.Era)
	return r.checkEra(Revision{Era: u.Era}) == nil
}

// canRelay asks a host whether it can be followed as a relay. A host that hasn't answered for queryTimeout is skipped.
func (r *Registry) canRelay(ctx context.Context, id string) bool {
	u, err := r.callStatus(ctx, id)
	if errors.Is(ctx.Err(), context.Canceled) {
		return false // another host was found first
	}
	if r.isUnresponsive(id, err) {
		r.markUnresponsive(id)
	}
	if err != nil {
		return false
	}
	return (u.Direct || u.Relay) && time.Duration(u.AgeMs)*time.Millisecond < r.timing.staleAfter && r.isOfLatestEra(u)
}

// queryStatus returns the freshness of a host. It returns an empty update when the host doesn't answer.
func (r *Registry) queryStatus(ctx context.Context, id string) *registrypb.Update {
	u, err := r.callStatus(ctx, id)
	if err != nil {
		return &registrypb.Update{}
	}
	return u
}

// callStatus asks a host for its freshness.
func (r *Registry) callStatus(ctx context.Context, id string) (*registrypb.Update, error) {
	ctx, cancel := context.WithTimeout(ctx, r.timing.queryTimeout)
	defer cancel()
	u := &registrypb.Update{}
	err := r.cfg.Peers.Call(ctx, id, MethodStatus, &registrypb.Follow{}, u)
	return u, err
}

// configurationVersion returns the version of the configuration in force, or zero if there is none.
func (r *Registry) configurationVersion() uint64 {
	if routes := r.View().Routes; routes != nil {
		return routes.Version
	}
	return 0
}

// openFollow opens a stream of updates from a host, starting at a store revision.
func (r *Registry) openFollow(ctx context.Context, id string, position Revision) (peer.Stream, error) {
	open, cancel := context.WithTimeout(ctx, r.timing.queryTimeout)
	defer cancel()
	s, err := r.cfg.Peers.Open(open, id, MethodFollow)
	if err != nil {
		return nil, err
	}
	if err := s.SetDeadline(time.Now().Add(r.timing.queryTimeout)); err != nil {
		s.Close()
		return nil, err
	}
	req := &registrypb.Follow{
		Position: position.Number, Era: position.Era, ConfigurationVersion: r.configurationVersion(),
		Self: HostToProto(&r.cfg.Self), NoRedirect: r.refusesRedirect(id),
	}
	if err := s.Send(req); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}
