package quarantine

import (
	"context"
	"time"

	"github.com/bilberryline/bilberryline/internal/event"
	"github.com/bilberryline/bilberryline/internal/quarantine/quarantinepb"
	"github.com/bilberryline/bilberryline/internal/rendezvous"
)

// Permit is the right to run a suspected request. At most one permit per request is valid as long as the
// hosts agree on the membership. The permit of a request that is not suspected is the zero value and needs no
// release.
type Permit struct {
	tracker *Tracker
	fp      Fingerprint
	owner   string
	serial  uint64
}

// Acquire waits until the request may be sent: it is no longer suspected, or it holds the permit. It returns a
// *RefusedError once the request is quarantined, here or at the host that issues its permits, and a *NoPermitError if the
// context ends first. On a host that has just started it first waits for the evidence of the others.
func (t *Tracker) Acquire(ctx context.Context, fp Fingerprint) (Permit, error) {
	t.awaitCatchUp(ctx)
	p := Permit{tracker: t, fp: fp, serial: t.nextSerial()}
	pause := permitRetryInterval
	for {
		entry, found := t.Check(fp)
		if !found {
			return Permit{}, nil
		}
		if entry.State == Quarantined {
			return Permit{}, t.refuse(fp)
		}
		p.owner = t.permitOwner(fp)
		reply := t.requestPermit(ctx, p, t.cfg.Limits.PermitTTL)
		if reply.GetGranted() {
			return p, nil
		}
		t.applyKnown(reply.GetKnown())
		if reply.GetQuarantined() {
			return Permit{}, t.refuse(fp)
		}
		select {
		case <-ctx.Done():
			return Permit{}, &NoPermitError{Owner: p.owner, Cause: ctx.Err()}
		case <-t.cfg.Clock.After(pause):
			pause = min(2*pause, maxPermitRetryInterval)
		}
	}
}

// refuse returns the error for a quarantined request.
func (t *Tracker) refuse(fp Fingerprint) error {
	t.cfg.Events.Record(event.QuarantineRefused, event.Fields{Caller: fp.Caller, Service: fp.Service})
	entry, _ := t.Check(fp)
	return &RefusedError{Entry: entry}
}

// Release gives the permit back. If the request's connection broke, the permit is held for another
// Limits.PermitLinger, within which a crash of the server becomes known.
func (p Permit) Release(ctx context.Context, broken bool) {
	if p.tracker == nil {
		return
	}
	if broken {
		p.tracker.requestPermit(ctx, p, p.tracker.cfg.Limits.PermitLinger)
		return
	}
	m := &quarantinepb.Release{Fingerprint: fingerprintToProto(p.fp), Holder: p.tracker.cfg.Self, Permit: p.serial}
	if p.owner == p.tracker.cfg.Self {
		p.tracker.handleRelease(m)
		return
	}
	q := &quarantinepb.Question{Body: &quarantinepb.Question_Release{Release: m}}
	_, _ = p.tracker.call(ctx, p.owner, q)
}

// requestPermit asks the permit's owner to grant or renew it and returns its reply, or nil if there is none.
func (t *Tracker) requestPermit(ctx context.Context, p Permit, lease time.Duration) *quarantinepb.AcquireReply {
	m := &quarantinepb.Acquire{
		Fingerprint: fingerprintToProto(p.fp),
		Holder:      t.cfg.Self,
		Permit:      p.serial,
		Lease:       int64(lease),
	}
	if p.owner == t.cfg.Self {
		return t.handleAcquire(m)
	}
	q := &quarantinepb.Question{Body: &quarantinepb.Question_Acquire{Acquire: m}}
	reply, err := t.call(ctx, p.owner, q)
	if err != nil {
		return nil
	}
	return reply.GetAcquire()
}

// permitOwner returns the id of the host that issues the permits of a request.
func (t *Tracker) permitOwner(fp Fingerprint) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return rendezvous.Owner(fp.key(), append([]string{t.cfg.Self}, t.members...))
}

func (t *Tracker) nextSerial() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastSerial++
	return t.lastSerial
}

func (t *Tracker) handleAcquire(m *quarantinepb.Acquire) *quarantinepb.AcquireReply {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.cfg.Clock.Now()
	fp := fingerprintFromProto(m.Fingerprint)
	if e, found := t.evidence.get(fp, now); found && e.State == Quarantined {
		return &quarantinepb.AcquireReply{Quarantined: true, Known: t.knownReportLocked(t.evidence.crashesOf(fp))}
	}
	lease := min(time.Duration(m.Lease), t.cfg.Limits.PermitTTL)
	requested := permit{holder: m.Holder, serial: m.Permit, expiresAt: now.Add(lease)}
	return &quarantinepb.AcquireReply{Granted: t.permits.acquire(fp, requested, now)}
}

func (t *Tracker) handleRelease(m *quarantinepb.Release) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.permits.release(fingerprintFromProto(m.Fingerprint), m.Holder, m.Permit)
}
