package dedupe

import (
	"github.com/bilberryline/bilberryline/internal/dedupe/dedupepb"
	"github.com/bilberryline/bilberryline/internal/event"
)

// handleIntent handles the request of a host to record a run.
func (d *Deduplicator) handleIntent(m *dedupepb.Intent) (*dedupepb.IntentReply, error) {
	now := d.cfg.Clock.Now()
	r, err := recordFromProto(m.Record, now)
	if err != nil {
		return nil, err
	}
	r.state = InFlight
	r.window = min(r.window, d.cfg.Limits.Window)
	r.inFlightUntil = r.inFlightUntil.Add(d.cfg.Timing.GracePeriod)
	r.expiresAt = r.inFlightUntil.Add(r.window)
	d.mu.Lock()
	code, held := d.recordLocked(r, hostsFromProto(m.Holders))
	d.mu.Unlock()
	reply := &dedupepb.IntentReply{Code: code}
	if held != nil {
		reply.Record = recordToProto(held, now)
	}
	d.emitIntentEvent(code, r.id)
	return reply, nil
}

// recordLocked records a run and returns CODE_ACCEPTED. Otherwise it returns the code of the refusal
// and, for CODE_HELD, the record of the other run. named are the key's holders in the sender's view.
func (d *Deduplicator) recordLocked(r *record, named holderList) (dedupepb.Code, *record) {
	now := d.cfg.Clock.Now()
	d.checkInterruptionLocked(now)
	held := d.table.get(r.id, now)
	if held != nil && held.run != r.run && held.state != Erased {
		if held.fingerprint != r.fingerprint {
			return dedupepb.Code_CODE_MISMATCH, nil
		}
		return dedupepb.Code_CODE_HELD, held
	}
	if held != nil && held.run == r.run && held.state != InFlight {
		return dedupepb.Code_CODE_CANCELLED, nil
	}
	if code := d.refusalLocked(r, named); code != dedupepb.Code_CODE_ACCEPTED {
		return code, nil
	}
	if held != nil && held.run == r.run {
		return dedupepb.Code_CODE_ACCEPTED, nil
	}
	if held == nil && !d.table.hasRoom(r) {
		return dedupepb.Code_CODE_FULL, nil
	}
	d.table.put(r)
	return dedupepb.Code_CODE_ACCEPTED, nil
}

// refusalLocked returns CODE_ACCEPTED if this host may record new runs of the key, and the code of
// the refusal otherwise. named are the key's holders in the sender's view.
func (d *Deduplicator) refusalLocked(r *record, named holderList) dedupepb.Code {
	now := d.cfg.Clock.Now()
	mine := d.handover.set.holders(r.id)
	switch {
	case d.leaving:
		return dedupepb.Code_CODE_LEAVING
	case d.isolated:
		return dedupepb.Code_CODE_ISOLATED
	case r.region != d.cfg.Region, len(mine) < d.cfg.MinHolders, !mine.equal(named), !mine.has(d.cfg.Self.ID):
		return dedupepb.Code_CODE_MOVED
	case !d.handover.allowsNewRuns(r.id):
		return dedupepb.Code_CODE_HANDOVER
	case d.handover.mayHaveLost(r.id, now, r.expiresAt.Sub(now)):
		return dedupepb.Code_CODE_LOST
	}
	return dedupepb.Code_CODE_ACCEPTED
}

// emitIntentEvent records the event that belongs to the reply to an intent, if there is one.
func (d *Deduplicator) emitIntentEvent(code dedupepb.Code, id ID) {
	fields := event.Fields{Caller: id.Caller, Service: id.Service}
	switch code {
	case dedupepb.Code_CODE_FULL:
		d.cfg.Events.Record(event.DedupeFull, fields)
	case dedupepb.Code_CODE_MISMATCH:
		d.cfg.Events.Record(event.DedupeMismatch, fields)
	default:
	}
}
