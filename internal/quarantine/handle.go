package quarantine

import (
	"context"
	"time"

	"github.com/bilberryline/bilberryline/internal/peer"
	"github.com/bilberryline/bilberryline/internal/quarantine/quarantinepb"
)

// Handle serves one exchange with another host. It is a peer.Handler.
func (k *Tracker) Handle(_ context.Context, s peer.Stream) {
	q := &quarantinepb.Question{}
	if err := s.Recv(q); err != nil {
		return
	}
	reply, err := k.answer(q)
	if err != nil {
		return
	}
	_ = s.Send(reply)
}

func (k *Tracker) answer(q *quarantinepb.Question) (*quarantinepb.Reply, error) {
	switch body := q.Body.(type) {
	case *quarantinepb.Question_Report:
		k.takeReport(body.Report)
		return &quarantinepb.Reply{Body: &quarantinepb.Reply_Report{Report: &quarantinepb.ReportReply{}}}, nil
	case *quarantinepb.Question_Acquire:
		return &quarantinepb.Reply{Body: &quarantinepb.Reply_Acquire{Acquire: k.serveAcquire(body.Acquire)}}, nil
	case *quarantinepb.Question_Release:
		k.serveRelease(body.Release)
		return &quarantinepb.Reply{Body: &quarantinepb.Reply_Release{Release: &quarantinepb.ReleaseReply{}}}, nil
	}
	return nil, &MessageError{Part: "question"}
}

func (k *Tracker) takeReport(m *quarantinepb.Report) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.cfg.Clock.Now()
	for _, c := range m.Clearances {
		k.table.clear(printFromWire(c.Fingerprint), now.Add(-time.Duration(c.Age)))
	}
	for _, c := range m.Crashes {
		k.takeCrash(crashFromWire(c, now))
	}
	k.judgeLocked()
}

// takeCrash adds another host's evidence, and what the local host had in flight at the target.
func (k *Tracker) takeCrash(r report) {
	known := k.table.has(r.target, r.at)
	k.table.addCrash(r.target, r.at, r.suspects)
	if known {
		return
	}
	mine := k.suspectsLocked(r.target, r.at)
	if len(mine) == 0 {
		return
	}
	k.table.addCrash(r.target, r.at, mine)
	k.outbox.addCrash(report{target: r.target, at: r.at, suspects: mine})
}
