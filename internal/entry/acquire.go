package entry

import (
	"context"
	"errors"
	"time"

	"github.com/bilberryline/bilberryline/internal/balance/slot"
	"github.com/bilberryline/bilberryline/internal/config"
	"github.com/bilberryline/bilberryline/internal/slots"
)

// maxFillAge is the age up to which a group's fill is taken as its present one.
const maxFillAge = 20 * time.Millisecond

// acquire obtains the right to send an attempt to a target. A group that refuses costs nothing but a
// message, so the call first takes a free slot anywhere near, then waits at the nearest group, and
// only when that can't answer in time at another.
func (h *handler) acquire(ctx context.Context, c *call, plan attemptPlan) (slots.Lease, error) {
	req := c.slotRequest(plan)
	if h.settings.Policy != PolicyOwner {
		return h.slots.AcquireDirect(c.service, nil, req, h.settings.Policy == PolicyRandom)
	}
	route := h.selectors.order(c.snap, c.service, len(c.req.Body))
	search := slotSearch{handler: h, call: c, request: req}
	lease, err := search.acquireFree(ctx, route.noWait)
	if lease != nil || err != nil {
		return lease, err
	}
	if plan.hedge {
		return nil, search.refusalError()
	}
	lease, err = search.acquireQueued(ctx, route.wait)
	if lease != nil || err != nil {
		return lease, err
	}
	return nil, search.refusalError()
}

// slotSearch is the search of one attempt for a slot.
type slotSearch struct {
	handler *handler
	call    *call
	request slot.Request
	refusal error // the last refusal
}

// refusalError returns the refusal that ended the search.
func (s *slotSearch) refusalError() error {
	if s.refusal != nil {
		return s.refusal
	}
	return &slots.RefusedError{Key: slots.Key{Service: s.call.service.Name}, Reason: slot.NoTarget, RetryAfter: time.Second}
}

// acquireFree takes a acquireFree slot of the first group that has one. Waiting is left out: a group's fill was heard
// a while ago, and hosts that trust it would queue there together.
func (s *slotSearch) acquireFree(ctx context.Context, keys []slots.Key) (slots.Lease, error) {
	s.request.NoWait = true
	for _, key := range keys {
		fill, known := s.handler.slots.Fill(key)
		if known && time.Since(fill.At) < maxFillAge && (fill.Waiting > 0 || fill.Busy >= fill.Slots) {
			continue
		}
		if lease, err := s.tryGroup(ctx, key); lease != nil || err != nil {
			return lease, err
		}
	}
	return nil, nil
}

// acquireQueued lets the request acquireQueued at the first group that expects to answer in time.
func (s *slotSearch) acquireQueued(ctx context.Context, keys []slots.Key) (slots.Lease, error) {
	s.request.NoWait = false
	for _, key := range keys {
		if lease, err := s.tryGroup(ctx, key); lease != nil || err != nil {
			return lease, err
		}
	}
	return nil, nil
}

// tryGroup returns neither a lease nor an error when the group refuses.
func (s *slotSearch) tryGroup(ctx context.Context, key slots.Key) (slots.Lease, error) {
	if !s.handler.spendLinkBudget(s.call, key) {
		return nil, nil
	}
	lease, err := s.handler.acquireGroup(ctx, s.call, key, s.request)
	var refused *slots.RefusedError
	if errors.As(err, &refused) {
		s.refusal = refused
		return nil, nil
	}
	return lease, err
}

// spendLinkBudget takes the bytes of the request from the budget of the link to the group's region.
func (h *handler) spendLinkBudget(c *call, key slots.Key) bool {
	target := regionOfSite(c.snap, key.Site)
	return target == h.settings.Region || h.selectors.spendLink(c.service.Name, target, len(c.req.Body))
}

func regionOfSite(snap *config.Snapshot, site string) string {
	for name, r := range snap.Regions {
		for _, s := range r.Sites {
			if s == site {
				return name
			}
		}
	}
	return ""
}

// acquireGroup acquires from the group's owner. When the owner is lost it turns to the next owner, if
// the membership names one already, and otherwise chooses among the group's targets with the
// knowledge of this host alone.
func (h *handler) acquireGroup(ctx context.Context, c *call, key slots.Key, req slot.Request) (slots.Lease, error) {
	lease, err := h.slots.Acquire(ctx, key, req)
	var lost *slots.OwnerLostError
	if !errors.As(err, &lost) {
		return lease, err
	}
	h.metrics.ownerLost.WithLabelValues(c.service.Name).Inc()
	if h.slots.Owner(key) != lost.Owner {
		if lease, err = h.slots.Acquire(ctx, key, req); !errors.As(err, &lost) {
			return lease, err
		}
	}
	return h.slots.AcquireDirect(c.service, func(t *config.Target) bool { return t.Site == key.Site }, req, false)
}
