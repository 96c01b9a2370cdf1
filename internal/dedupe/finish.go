package dedupe

import (
	"context"
	"slices"

	"github.com/bilberryline/bilberryline/internal/dedupe/dedupepb"
	"github.com/bilberryline/bilberryline/internal/event"
)

// report tells hosts, and the present holders of the key, the result of a run. It tries until all of
// them have taken it or left the membership, the time for reports is over, or the context ends.
func (k *Deduplicator) report(ctx context.Context, r *record, told []Host) error {
	until := k.cfg.Clock.Now().Add(k.cfg.Timing.ReportTimeout)
	pending := slices.Clone(told)
	for _, h := range k.holdersOf(r.region, r.id) {
		if !holderList(pending).has(h.ID) {
			pending = append(pending, h)
		}
	}
	for {
		var cause error
		pending, cause = k.reportOnce(ctx, r, pending)
		if len(pending) == 0 {
			return nil
		}
		if !k.cfg.Clock.Now().Before(until) {
			return k.reportFailure(r, pending, cause)
		}
		select {
		case <-ctx.Done():
			return k.reportFailure(r, pending, cause)
		case <-k.cfg.Clock.After(k.cfg.Timing.RetryInterval):
		}
	}
}

// reportOnce returns the hosts that are members still and have not taken the result.
func (k *Deduplicator) reportOnce(ctx context.Context, r *record, pending []Host) ([]Host, error) {
	failures := make([]error, len(pending))
	send := make([]func(), len(pending))
	for i, h := range pending {
		send[i] = func() { failures[i] = k.sendFinish(ctx, h, r, false) }
	}
	k.runParallel(send...)
	var left []Host
	var cause error
	for i, h := range pending {
		if failures[i] != nil && k.isMember(h) {
			left = append(left, h)
			cause = failures[i]
		}
	}
	return left, cause
}

func (k *Deduplicator) reportFailure(r *record, pending []Host, cause error) error {
	err := &ReportError{Cause: cause}
	for _, h := range pending {
		err.Hosts = append(err.Hosts, h.ID)
	}
	fields := event.Fields{Caller: r.id.Caller, Service: r.id.Service}
	k.cfg.Events.RecordError(event.DedupeUnreported, fields, err)
	return err
}

func (k *Deduplicator) isMember(h Host) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, m := range k.view.Members {
		if m.ID == h.ID && m.Incarnation == h.Incarnation {
			return true
		}
	}
	return false
}

func (k *Deduplicator) sendFinish(ctx context.Context, to Host, r *record, forwarded bool) error {
	if to.ID == k.cfg.Self.ID {
		k.applyResult(r)
		return nil
	}
	finish := &dedupepb.Finish{Record: recordToWire(r, k.cfg.Clock.Now()), Forwarded: forwarded}
	q := &dedupepb.Question{Body: &dedupepb.Question_Finish{Finish: finish}}
	_, err := k.exchange(ctx, to, q)
	return err
}

// serveFinish takes a result from another host and passes it on to the present holders when this
// host is no longer one of them.
func (k *Deduplicator) serveFinish(m *dedupepb.Finish) error {
	r, err := recordFromWire(m.Record, k.cfg.Clock.Now())
	if err != nil {
		return err
	}
	k.applyResult(r)
	pair := k.holdersOf(r.region, r.id)
	if m.Forwarded || pair.has(k.cfg.Self.ID) {
		return nil
	}
	k.spawn(func() {
		for _, h := range pair {
			_ = k.sendFinish(context.Background(), h, r, true)
		}
	})
	return nil
}

// applyResult takes a result into the local table. A run that was not run erases only its own
// record, never that of a later run.
func (k *Deduplicator) applyResult(r *record) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.cfg.Clock.Now()
	if r.expired(now) {
		return
	}
	held := k.table.get(r.id, now)
	if held == nil && r.state == Erased && !k.table.hasRoom(r) {
		return
	}
	k.table.merge(r, now)
}
