package dedupe

import (
	"github.com/bilberryline/bilberryline/internal/dedupe/dedupepb"
	"github.com/bilberryline/bilberryline/internal/event"
)

// serveIntent answers a host that asks to record a run.
func (k *Deduplicator) serveIntent(m *dedupepb.Intent) (*dedupepb.IntentReply, error) {
	now := k.cfg.Clock.Now()
	r, err := recordFromWire(m.Record, now)
	if err != nil {
		return nil, err
	}
	r.state = InFlight
	r.window = min(r.window, k.cfg.Limits.Window)
	r.inFlightUntil = r.inFlightUntil.Add(k.cfg.Timing.GracePeriod)
	r.expiresAt = r.inFlightUntil.Add(r.window)
	k.mu.Lock()
	code, held := k.recordLocked(r, hostsFromWire(m.Holders))
	k.mu.Unlock()
	reply := &dedupepb.IntentReply{Code: code}
	if held != nil {
		reply.Record = recordToWire(held, now)
	}
	k.emitIntentEvent(code, r.id)
	return reply, nil
}

// recordLocked records a run, or returns why not and the record in its way.
func (k *Deduplicator) recordLocked(r *record, named holderList) (dedupepb.Code, *record) {
	now := k.cfg.Clock.Now()
	k.checkInterruptionLocked(now)
	held := k.table.get(r.id, now)
	if held != nil && held.run != r.run && held.state != Erased {
		if held.fingerprint != r.fingerprint {
			return dedupepb.Code_CODE_MISMATCH, nil
		}
		return dedupepb.Code_CODE_HELD, held
	}
	if held != nil && held.run == r.run && held.state != InFlight {
		return dedupepb.Code_CODE_CANCELLED, nil
	}
	if code := k.refusalLocked(r, named); code != dedupepb.Code_CODE_ACCEPTED {
		return code, nil
	}
	if held != nil && held.run == r.run {
		return dedupepb.Code_CODE_ACCEPTED, nil
	}
	if held == nil && !k.table.hasRoom(r) {
		return dedupepb.Code_CODE_FULL, nil
	}
	k.table.put(r)
	return dedupepb.Code_CODE_ACCEPTED, nil
}

// refusalLocked returns why this host may not record new runs of the key, or CODE_ACCEPTED.
func (k *Deduplicator) refusalLocked(r *record, named holderList) dedupepb.Code {
	now := k.cfg.Clock.Now()
	mine := k.handover.set.holders(r.id)
	switch {
	case k.leaving:
		return dedupepb.Code_CODE_LEAVING
	case k.isolated:
		return dedupepb.Code_CODE_ISOLATED
	case r.region != k.cfg.Region, len(mine) < k.cfg.MinHolders, !mine.equal(named), !mine.has(k.cfg.Self.ID):
		return dedupepb.Code_CODE_MOVED
	case !k.handover.allowsNewRuns(r.id):
		return dedupepb.Code_CODE_HANDOVER
	case k.handover.mayHaveLost(r.id, now, r.expiresAt.Sub(now)):
		return dedupepb.Code_CODE_LOST
	}
	return dedupepb.Code_CODE_ACCEPTED
}

func (k *Deduplicator) emitIntentEvent(code dedupepb.Code, id ID) {
	fields := event.Fields{Caller: id.Caller, Service: id.Service}
	switch code {
	case dedupepb.Code_CODE_FULL:
		k.cfg.Events.Record(event.DedupeFull, fields)
	case dedupepb.Code_CODE_MISMATCH:
		k.cfg.Events.Record(event.DedupeMismatch, fields)
	default:
	}
}
