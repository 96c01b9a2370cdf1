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
		d.handlePull(s, pull)
		return
	}
	reply, err := d.handleQuestion(q)
	if err != nil {
		return
	}
	_ = s.Send(reply)
}

// handleQuestion handles the questions that have a single reply.
func (d *Deduplicator) handleQuestion(q *dedupepb.Question) (*dedupepb.Reply, error) {
	switch body := q.Body.(type) {
	case *dedupepb.Question_Intent:
		reply, err := d.handleIntent(body.Intent)
		if err != nil {
			return nil, err
		}
		return &dedupepb.Reply{Body: &dedupepb.Reply_Intent{Intent: reply}}, nil
	case *dedupepb.Question_Finish:
		if err := d.handleFinish(body.Finish); err != nil {
			return nil, err
		}
		return &dedupepb.Reply{Body: &dedupepb.Reply_Finish{Finish: &dedupepb.FinishReply{}}}, nil
	}
	return nil, &MessageError{Part: "question"}
}
