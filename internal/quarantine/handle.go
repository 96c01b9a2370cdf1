package quarantine

import (
	"context"
	"time"

	"github.com/bilberryline/bilberryline/internal/peer"
	"github.com/bilberryline/bilberryline/internal/quarantine/quarantinepb"
)

// Handle serves one question of another host. It is a peer.Handler.
func (t *Tracker) Handle(_ context.Context, s peer.Stream) {
	q := &quarantinepb.Question{}
	if err := s.Recv(q); err != nil {
		return
	}
	reply, err := t.handleQuestion(q)
	if err != nil {
		return
	}
	_ = s.Send(reply)
}

func (t *Tracker) handleQuestion(q *quarantinepb.Question) (*quarantinepb.Reply, error) {
	switch body := q.Body.(type) {
	case *quarantinepb.Question_Report:
		t.applyReport(body.Report)
		return &quarantinepb.Reply{Body: &quarantinepb.Reply_Report{Report: &quarantinepb.ReportReply{}}}, nil
	case *quarantinepb.Question_Acquire:
		return &quarantinepb.Reply{Body: &quarantinepb.Reply_Acquire{Acquire: t.handleAcquire(body.Acquire)}}, nil
	case *quarantinepb.Question_Release:
		t.handleRelease(body.Release)
		return &quarantinepb.Reply{Body: &quarantinepb.Reply_Release{Release: &quarantinepb.ReleaseReply{}}}, nil
	}
	return nil, &MessageError{Part: "question"}
}

// applyReport merges the evidence of another host.
func (t *Tracker) applyReport(m *quarantinepb.Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.cfg.Clock.Now()
	for _, c := range m.Clearances {
		t.evidence.clear(fingerprintFromProto(c.Fingerprint), now.Add(-time.Duration(c.Age)))
	}
	for _, c := range m.Crashes {
		t.applyCrashReport(crashFromProto(c, now))
	}
	t.evaluateLocked()
}

// applyCrashReport adds a crash that another host reported. If the crash is new here, it also adds and reports
// the requests that the local host had in flight at the target.
func (t *Tracker) applyCrashReport(r crashReport) {
	known := t.evidence.hasCrash(r.target, r.at)
	t.evidence.addCrash(r.target, r.at, r.suspects)
	if known {
		return
	}
	local := t.localSuspectsLocked(r.target, r.at)
	if len(local) == 0 {
		return
	}
	t.evidence.addCrash(r.target, r.at, local)
	t.outbox.addCrash(crashReport{target: r.target, at: r.at, suspects: local})
}
