package dedupe

import (
	"context"

	"github.com/bilberryline/bilberryline/internal/dedupe/dedupepb"
)

// holderReply is a holder's reply to an intent.
type holderReply struct {
	code dedupepb.Code // CODE_UNSPECIFIED if the exchange failed
	held *record       // the record in the way, for CODE_HELD
}

// reason returns the reason for the refusal, for a reply that may change on a retry.
func (r holderReply) reason() Reason {
	switch r.code {
	case dedupepb.Code_CODE_HANDOVER, dedupepb.Code_CODE_MOVED, dedupepb.Code_CODE_CANCELLED:
		return ReasonHandover
	case dedupepb.Code_CODE_ISOLATED:
		return ReasonIsolated
	case dedupepb.Code_CODE_LEAVING:
		return ReasonLeaving
	default:
		return ReasonUnreachable
	}
}

// sendTo sends the intent to one holder. If the exchange fails, the reply has no code.
func (reg *registration) sendTo(ctx context.Context, to Host, holders holderList) holderReply {
	d := reg.dedup
	now := d.cfg.Clock.Now()
	m := recordToProto(reg.record, now)
	m.DueIn = int64(reg.request.Deadline.Sub(now))
	intent := &dedupepb.Intent{Record: m, Holders: hostsToProto(holders)}
	reply, err := d.sendIntent(ctx, to, intent)
	if err != nil {
		return holderReply{}
	}
	if reply.Code != dedupepb.Code_CODE_HELD {
		return holderReply{code: reply.Code}
	}
	held, err := recordFromProto(reply.Record, d.cfg.Clock.Now())
	if err != nil {
		return holderReply{}
	}
	return holderReply{code: reply.Code, held: held}
}

// sendIntent sends an intent to a holder, which may be the local host.
func (d *Deduplicator) sendIntent(ctx context.Context, to Host, m *dedupepb.Intent) (*dedupepb.IntentReply, error) {
	if to.ID == d.cfg.Self.ID {
		return d.handleIntent(m)
	}
	q := &dedupepb.Question{Body: &dedupepb.Question_Intent{Intent: m}}
	reply, err := d.call(ctx, to, q)
	if err != nil {
		return nil, err
	}
	if reply.GetIntent() == nil {
		return nil, &MessageError{Part: "reply"}
	}
	return reply.GetIntent(), nil
}

// call sends a question to another host and returns its reply. It takes at most
// Timing.CallTimeout.
func (d *Deduplicator) call(ctx context.Context, to Host, q *dedupepb.Question) (*dedupepb.Reply, error) {
	ctx, stop := context.WithTimeout(ctx, d.cfg.Timing.CallTimeout)
	defer stop()
	reply := &dedupepb.Reply{}
	if err := d.cfg.Peers.Call(ctx, to.ID, Method, q, reply); err != nil {
		return nil, err
	}
	return reply, nil
}
