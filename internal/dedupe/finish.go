package dedupe

import (
	"context"
	"slices"

	"github.com/bilberryline/bilberryline/internal/dedupe/dedupepb"
	"github.com/bilberryline/bilberryline/internal/event"
)

// report sends the result of a run to the contacted hosts and to the current holders of the key. It
// retries until each of them has received the result or is no longer a member, Timing.ReportTimeout
// passes, or the context ends.
func (d *Deduplicator) report(ctx context.Context, r *record, contacted []Host) error {
	until := d.cfg.Clock.Now().Add(d.cfg.Timing.ReportTimeout)
	pending := slices.Clone(contacted)
	for _, h := range d.holdersOf(r.region, r.id) {
		if !holderList(pending).has(h.ID) {
			pending = append(pending, h)
		}
	}
	for {
		var cause error
		pending, cause = d.reportOnce(ctx, r, pending)
		if len(pending) == 0 {
			return nil
		}
		if !d.cfg.Clock.Now().Before(until) {
			return d.reportFailure(r, pending, cause)
		}
		select {
		case <-ctx.Done():
			return d.reportFailure(r, pending, cause)
		case <-d.cfg.Clock.After(d.cfg.Timing.RetryInterval):
		}
	}
}

// reportOnce sends the result to the pending hosts. It returns the hosts that are still members and
// have not received the result, and the error of one of them.
func (d *Deduplicator) reportOnce(ctx context.Context, r *record, pending []Host) ([]Host, error) {
	failures := make([]error, len(pending))
	calls := make([]func(), len(pending))
	for i, h := range pending {
		calls[i] = func() { failures[i] = d.sendFinish(ctx, h, r, false) }
	}
	d.runParallel(calls...)
	var remaining []Host
	var cause error
	for i, h := range pending {
		if failures[i] != nil && d.isMember(h) {
			remaining = append(remaining, h)
			cause = failures[i]
		}
	}
	return remaining, cause
}

// reportFailure records the event of an undelivered result and returns its error.
func (d *Deduplicator) reportFailure(r *record, pending []Host, cause error) error {
	err := &ReportError{Cause: cause}
	for _, h := range pending {
		err.Hosts = append(err.Hosts, h.ID)
	}
	fields := event.Fields{Caller: r.id.Caller, Service: r.id.Service}
	d.cfg.Events.RecordError(event.DedupeUnreported, fields, err)
	return err
}

// isMember reports whether this incarnation of the host is in the current view.
func (d *Deduplicator) isMember(h Host) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, m := range d.view.Members {
		if m.ID == h.ID && m.Incarnation == h.Incarnation {
			return true
		}
	}
	return false
}

// sendFinish sends the result of a run to a host, which may be the local host.
func (d *Deduplicator) sendFinish(ctx context.Context, to Host, r *record, forwarded bool) error {
	if to.ID == d.cfg.Self.ID {
		d.applyResult(r)
		return nil
	}
	finish := &dedupepb.Finish{Record: recordToProto(r, d.cfg.Clock.Now()), Forwarded: forwarded}
	q := &dedupepb.Question{Body: &dedupepb.Question_Finish{Finish: finish}}
	_, err := d.call(ctx, to, q)
	return err
}

// handleFinish applies a result from another host. If this host is no longer a holder of the key, it
// forwards the result to the current holders. A forwarded result is not forwarded again.
func (d *Deduplicator) handleFinish(m *dedupepb.Finish) error {
	r, err := recordFromProto(m.Record, d.cfg.Clock.Now())
	if err != nil {
		return err
	}
	d.applyResult(r)
	holders := d.holdersOf(r.region, r.id)
	if m.Forwarded || holders.has(d.cfg.Self.ID) {
		return nil
	}
	d.spawn(func() {
		for _, h := range holders {
			_ = d.sendFinish(context.Background(), h, r, true)
		}
	})
	return nil
}

// applyResult stores the result of a run in the local table. A run that was not run erases only its
// own record, never the record of a later run.
func (d *Deduplicator) applyResult(r *record) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.cfg.Clock.Now()
	if r.expired(now) {
		return
	}
	held := d.table.get(r.id, now)
	if held == nil && r.state == Erased && !d.table.hasRoom(r) {
		return
	}
	d.table.merge(r, now)
}
