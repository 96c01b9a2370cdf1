package quarantine

import (
	"context"
	"time"

	"github.com/bilberryline/bilberryline/internal/peer"
	"github.com/bilberryline/bilberryline/internal/quarantine/quarantinepb"
)

// Handle serves one question of another host. It is a peer.Handler.
func (t *Tracker) Handle(ctx context.Context, s peer.Stream) {
	q := &quarantinepb.Question{}
	if err := s.Recv(q); err != nil {
		return
	}
	reply, err := t.handleQuestion(q)
	if err != nil {
		return
	}
	if q.GetReport().GetToHub() {
		// The host that reports may have a caller that waits until all hosts know.
		ctx, stop := context.WithTimeout(ctx, forwardTimeout)
		defer stop()
		_ = t.AwaitDelivery(ctx)
	}
	_ = s.Send(reply)
}

func (t *Tracker) handleQuestion(q *quarantinepb.Question) (*quarantinepb.Reply, error) {
	switch body := q.Body.(type) {
	case *quarantinepb.Question_Report:
		t.applyReport(body.Report)
		reply := &quarantinepb.ReportReply{Known: t.knownBeyond(body.Report)}
		return &quarantinepb.Reply{Body: &quarantinepb.Reply_Report{Report: reply}}, nil
	case *quarantinepb.Question_Acquire:
		return &quarantinepb.Reply{Body: &quarantinepb.Reply_Acquire{Acquire: t.handleAcquire(body.Acquire)}}, nil
	case *quarantinepb.Question_Release:
		t.handleRelease(body.Release)
		return &quarantinepb.Reply{Body: &quarantinepb.Reply_Release{Release: &quarantinepb.ReleaseReply{}}}, nil
	case *quarantinepb.Question_Snapshot:
		return &quarantinepb.Reply{Body: &quarantinepb.Reply_Snapshot{Snapshot: t.handleSnapshotRequest()}}, nil
	}
	return nil, &MessageError{Part: "question"}
}

// applyReport merges the evidence of another host.
func (t *Tracker) applyReport(m *quarantinepb.Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.cfg.Clock.Now()
	for _, c := range m.Clearances {
		t.applyClearance(clearance{fingerprintFromProto(c.Fingerprint), now.Add(-time.Duration(c.Age))}, m.ToHub, now)
	}
	for _, c := range m.Crashes {
		t.applyCrashReport(crashFromProto(c, now), m.ToHub, now)
	}
	t.evaluateLocked()
}

// applyKnown merges the evidence that another host added to a reply. It may be nil.
func (t *Tracker) applyKnown(m *quarantinepb.Report) {
	if m != nil {
		t.applyReport(m)
	}
}

// knownBeyond returns all crashes of those requests of a report that are quarantined here, or nil if the report has as
// many. The host that sent it may have restarted since it had the others.
func (t *Tracker) knownBeyond(m *quarantinepb.Report) *quarantinepb.Report {
	reported := map[Fingerprint]int{}
	for _, c := range m.Crashes {
		for _, fp := range c.Suspects {
			reported[fingerprintFromProto(fp)]++
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var crashes []crashReport
	for fp, n := range reported {
		if t.evidence.entries[fp].State == Quarantined && t.evidence.crashCount(fp) > n {
			crashes = append(crashes, t.evidence.crashesOf(fp)...)
		}
	}
	return t.knownReportLocked(crashes)
}

// knownReportLocked returns the evidence to add to a reply, or nil if there is none.
func (t *Tracker) knownReportLocked(crashes []crashReport) *quarantinepb.Report {
	if len(crashes) == 0 {
		return nil
	}
	report := reportToProto(crashes, nil, t.cfg.Clock.Now())
	cutReport(report, maxHubReportSize)
	return report
}

// applyClearance adds a clearance. One that this host got as a hub goes to all members if it has an effect.
func (t *Tracker) applyClearance(c clearance, asHub bool, now time.Time) {
	_, shared := t.evidence.entries[c.fp]
	if found := t.evidence.clear(c.fp, c.at); found && asHub && shared {
		t.outbox.addClearance(queued[clearance]{item: c, forward: true, queuedAt: now})
	}
}

// applyCrashReport adds a crash that another host reported, and forwards it if this host got it as a hub. If the crash
// is new here, it also adds and reports the requests that the local host had in flight at the target. It clears the
// suspects that were answered here since.
func (t *Tracker) applyCrashReport(r crashReport, asHub bool, now time.Time) {
	t.wave.observe(r.target, r.at)
	known := t.evidence.hasCrash(r.target, r.at)
	added := t.evidence.addCrash(r.target, r.at, r.suspects)
	for _, fp := range added {
		if answeredAt, ok := t.requests.answered[fp]; ok && answeredAt.After(r.at) {
			t.clearLocked(fp, answeredAt)
		}
	}
	var own []Fingerprint
	if !known {
		own = t.evidence.addCrash(r.target, r.at, t.localSuspectsLocked(r.target, r.at))
	}
	announced := now.Sub(t.idleDownReported[r.target]) < t.cfg.Limits.CorrelationWindow
	t.idleDownReported[r.target] = r.at
	t.outbox.dropAnnouncement(r.target)
	switch {
	case asHub && (len(added) > 0 || !announced):
		t.outbox.addCrash(queued[crashReport]{crashReport{r.target, r.at, append(added, own...)}, true, now})
		t.requestFlush()
	case len(own) > 0:
		t.outbox.addCrash(queued[crashReport]{crashReport{r.target, r.at, own}, false, now})
		t.requestFlush()
	}
}
