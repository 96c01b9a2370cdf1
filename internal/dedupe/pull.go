package dedupe

import (
	"context"
	"slices"

	"github.com/bilberryline/bilberryline/internal/dedupe/dedupepb"
	"github.com/bilberryline/bilberryline/internal/event"
	"github.com/bilberryline/bilberryline/internal/peer"
)

// pullBatchBytes is the size from which records are sent in a message of their own, in bytes.
const pullBatchBytes = 256 << 10

// servePull hands over the records whose holder the sender is, provided that both hosts use the
// same set.
func (k *Deduplicator) servePull(s peer.Stream, m *dedupepb.Pull) {
	sender := hostFromWire(m.Sender)
	head, set, records := k.preparePull(sender, m)
	if !head.Agreed {
		_ = sendPart(s, head)
		return
	}
	now := k.cfg.Clock.Now()
	part, size := head, 0
	for _, r := range records {
		if r.region != k.cfg.Region || r.expired(now) || !set.holders(r.id).has(sender.ID) {
			continue
		}
		part.Records = append(part.Records, recordToWire(r, now))
		size += r.size()
		if size < pullBatchBytes {
			continue
		}
		if err := sendPart(s, part); err != nil {
			return
		}
		part, size = &dedupepb.PullReply{Agreed: true}, 0
	}
	part.Last = true
	if err := sendPart(s, part); err != nil {
		return
	}
	k.markPulled(sender, set)
}

// preparePull compares the sets and takes a consistent copy of what is to be sent. From here on this
// host records no key under an earlier set.
func (k *Deduplicator) preparePull(sender Host, m *dedupepb.Pull) (*dedupepb.PullReply, hostSet, []*record) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.cfg.Clock.Now()
	k.checkInterruptionLocked(now)
	set := k.handover.set
	if !slices.Equal(m.SetHash, set.hash[:]) || !set.has(sender) {
		return &dedupepb.PullReply{}, set, nil
	}
	head := &dedupepb.PullReply{Agreed: true, Warm: k.handover.warm}
	isKnown := func(h setHash) bool {
		return slices.ContainsFunc(m.Known, func(b []byte) bool { return slices.Equal(b, h[:]) })
	}
	for _, past := range k.handover.pastSets {
		if !isKnown(past.hash) {
			head.Past = append(head.Past, setToWire(past))
		}
	}
	for _, l := range k.handover.losses {
		if !isKnown(l.hash()) {
			head.Losses = append(head.Losses, lossToWire(l, now))
		}
	}
	records := make([]*record, 0, len(k.table.records))
	for _, r := range k.table.records {
		records = append(records, r)
	}
	return head, set, records
}

func sendPart(s peer.Stream, part *dedupepb.PullReply) error {
	return s.Send(&dedupepb.Reply{Body: &dedupepb.Reply_Pull{Pull: part}})
}

func (k *Deduplicator) markPulled(sender Host, set hostSet) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.pulledUnder[sender.ID] = set.hash
}

// pullFrom pulls the local host's records from one host in a round of the handover.
func (k *Deduplicator) pullFrom(ctx context.Context, from Host, round uint64) error {
	ctx, stop := context.WithTimeout(ctx, k.cfg.Timing.PullTimeout)
	defer stop()
	k.cfg.Events.Record(event.DedupeHandover, event.Fields{Peer: from.ID})
	s, err := k.cfg.Peers.Open(ctx, from.ID, Method)
	if err != nil {
		return err
	}
	defer func() { _ = s.Close() }()
	if deadline, ok := ctx.Deadline(); ok {
		_ = s.SetDeadline(deadline)
	}
	q, current := k.newPullQuestion(round)
	if !current {
		return nil
	}
	if err := s.Send(q); err != nil {
		return err
	}
	return k.receivePull(s, from, round)
}

func (k *Deduplicator) newPullQuestion(round uint64) (*dedupepb.Question, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if round != k.handover.round {
		return nil, false
	}
	hash := k.handover.set.hash
	pull := &dedupepb.Pull{Sender: hostToWire(k.cfg.Self), SetHash: hash[:]}
	for _, h := range k.handover.knownHashes() {
		pull.Known = append(pull.Known, h[:])
	}
	return &dedupepb.Question{Body: &dedupepb.Question_Pull{Pull: pull}}, true
}

func (k *Deduplicator) receivePull(s peer.Stream, from Host, round uint64) error {
	var past []hostSet
	var losses []loss
	warm := false
	for {
		reply := &dedupepb.Reply{}
		if err := s.Recv(reply); err != nil {
			return err
		}
		part := reply.GetPull()
		if part == nil || !part.Agreed {
			return nil
		}
		warm = warm || part.Warm
		for _, m := range part.Past {
			past = append(past, setFromWire(m))
		}
		for _, m := range part.Losses {
			losses = append(losses, lossFromWire(m, k.cfg.Clock.Now()))
		}
		if err := k.mergeRecords(part.Records); err != nil {
			return err
		}
		if part.Last {
			break
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.handover.confirm(from, round, warm, past, losses)
	return nil
}

func (k *Deduplicator) mergeRecords(list []*dedupepb.Record) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.cfg.Clock.Now()
	for _, m := range list {
		r, err := recordFromWire(m, now)
		if err != nil {
			return err
		}
		if !k.table.merge(r, now) {
			return &TableFullError{Records: k.table.total.records}
		}
	}
	return nil
}
