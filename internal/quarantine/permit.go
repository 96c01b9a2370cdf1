package quarantine

import (
	"context"
	"time"

	"github.com/bilberryline/bilberryline/internal/event"
	"github.com/bilberryline/bilberryline/internal/quarantine/quarantinepb"
	"github.com/bilberryline/bilberryline/internal/rendezvous"
)

// Permit is the only right, as far as the hosts agree on the membership, to run a suspected request.
// The permit of a request that is not suspected is empty and needs no release.
type Permit struct {
	keeper *Tracker
	fp     Fingerprint
	owner  string
	serial uint64
}

// Acquire waits until the request may be sent: it is not suspected any more, or it has the only
// permit. It fails with RefusedError once the request is quarantined and with BusyError when the
// context ends first.
func (k *Tracker) Acquire(ctx context.Context, fp Fingerprint) (Permit, error) {
	p := Permit{keeper: k, fp: fp, serial: k.nextSerial()}
	for {
		entry, watched := k.Check(fp)
		if !watched {
			return Permit{}, nil
		}
		if entry.State == Quarantined {
			k.cfg.Events.Record(event.QuarantineRefused, event.Fields{Caller: fp.Caller, Service: fp.Service})
			return Permit{}, &RefusedError{Entry: entry}
		}
		p.owner = k.owner(fp)
		if k.ask(ctx, p, k.cfg.Limits.Permit) {
			return p, nil
		}
		select {
		case <-ctx.Done():
			return Permit{}, &NoPermitError{Owner: p.owner, Cause: ctx.Err()}
		case <-k.cfg.Clock.After(retryPause):
		}
	}
}

// Release gives the permit back. When the request's connection broke, the permit is held for a
// while longer, until a crash of the server would be known.
func (p Permit) Release(ctx context.Context, broken bool) {
	if p.keeper == nil {
		return
	}
	if broken {
		p.keeper.ask(ctx, p, p.keeper.cfg.Limits.Linger)
		return
	}
	m := &quarantinepb.Release{Fingerprint: printToWire(p.fp), Holder: p.keeper.cfg.Self, Permit: p.serial}
	if p.owner == p.keeper.cfg.Self {
		p.keeper.serveRelease(m)
		return
	}
	q := &quarantinepb.Question{Body: &quarantinepb.Question_Release{Release: m}}
	_, _ = p.keeper.exchange(ctx, p.owner, q)
}

func (k *Tracker) ask(ctx context.Context, p Permit, lease time.Duration) bool {
	m := &quarantinepb.Acquire{
		Fingerprint: printToWire(p.fp),
		Holder:      k.cfg.Self,
		Permit:      p.serial,
		Lease:       int64(lease),
	}
	if p.owner == k.cfg.Self {
		return k.serveAcquire(m).Granted
	}
	q := &quarantinepb.Question{Body: &quarantinepb.Question_Acquire{Acquire: m}}
	reply, err := k.exchange(ctx, p.owner, q)
	return err == nil && reply.GetAcquire().GetGranted()
}

// owner returns the host that issues the permits of a request.
func (k *Tracker) owner(fp Fingerprint) string {
	k.mu.Lock()
	defer k.mu.Unlock()
	key := fp.Caller + "\x00" + fp.Service + "\x00" + string(fp.Sum[:])
	return rendezvous.Owner(key, append([]string{k.cfg.Self}, k.members...))
}

func (k *Tracker) nextSerial() uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.serial++
	return k.serial
}

func (k *Tracker) serveAcquire(m *quarantinepb.Acquire) *quarantinepb.AcquireReply {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.cfg.Clock.Now()
	lease := min(time.Duration(m.Lease), k.cfg.Limits.Permit)
	want := permit{holder: m.Holder, serial: m.Permit, until: now.Add(lease)}
	return &quarantinepb.AcquireReply{Granted: k.permits.acquire(printFromWire(m.Fingerprint), want, now)}
}

func (k *Tracker) serveRelease(m *quarantinepb.Release) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.permits.release(printFromWire(m.Fingerprint), m.Holder, m.Permit)
}
