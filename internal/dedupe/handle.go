package dedupe

import (
	"context"

	"github.com/bilberryline/bilberryline/internal/dedupe/dedupepb"
	"github.com/bilberryline/bilberryline/internal/peer"
)

// Handle serves one question of another host. It is a peer.Handler.
func (d *Deduplicator) Handle(_ context.Context, s peer.Stream) {
	q := &dedupepb.Question{}
	if err := s.Recv(q); err != nil {
		return
	}
	if pull := q.GetPull(); pull != nil {
		d.servePull(s, pull)
		return
	}
	reply, err := d.serveQuestion(q)
	if err != nil {
		return
	}
	_ = s.Send(reply)
}

// serveQuestion handles the questions that have a single reply.
func (d *Deduplicator) serveQuestion(q *dedupepb.Question) (*dedupepb.Reply, error) {
	switch body := q.Body.(type) {
	case *dedupepb.Question_Intent:
		reply, err := d.serveIntent(body.Intent)
		if err != nil {
			return nil, err
		}
		return &dedupepb.Reply{Body: &dedupepb.Reply_Intent{Intent: reply}}, nil
	case *dedupepb.Question_Finish:
		if err := d.serveFinish(body.Finish); err != nil {
			return nil, err
		}
		return &dedupepb.Reply{Body: &dedupepb.Reply_Finish{Finish: &dedupepb.FinishReply{}}}, nil
	}
	return nil, &MessageError{Part: "question"}
}
