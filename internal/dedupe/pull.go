package dedupe

import (
	"context"
	"slices"

	"github.com/bilberryline/bilberryline/internal/dedupe/dedupepb"
	"github.com/bilberryline/bilberryline/internal/event"
	"github.com/bilberryline/bilberryline/internal/peer"
)

// pullBatchBytes is the size in bytes from which a message of a pull is sent and a new one started.
const pullBatchBytes = 256 << 10

// handlePull sends the records that the sender is a holder of, provided that both hosts use the same
// set.
func (d *Deduplicator) handlePull(s peer.Stream, m *dedupepb.Pull) {
	sender := hostFromProto(m.Sender)
	head, set, records := d.preparePull(sender, m)
	if !head.Agreed {
		_ = sendPart(s, head)
		return
	}
	now := d.cfg.Clock.Now()
	part, size := head, 0
	for _, r := range records {
		if r.region != d.cfg.Region || r.expired(now) || !set.holders(r.id).has(sender.ID) {
			continue
		}
		part.Records = append(part.Records, recordToProto(r, now))
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
	d.markPulled(sender, set)
}

// preparePull compares the sets of both hosts and takes a consistent snapshot of the data to be sent.
// From then on, this host records no key under an earlier set.
func (d *Deduplicator) preparePull(sender Host, m *dedupepb.Pull) (*dedupepb.PullReply, hostSet, []*record) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.cfg.Clock.Now()
	d.checkInterruptionLocked(now)
	set := d.handover.set
	if !slices.Equal(m.SetHash, set.hash[:]) || !set.has(sender) {
		return &dedupepb.PullReply{}, set, nil
	}
	head := &dedupepb.PullReply{Agreed: true, Warm: d.handover.warm}
	isKnown := func(h setHash) bool {
		return slices.ContainsFunc(m.Known, func(b []byte) bool { return slices.Equal(b, h[:]) })
	}
	for _, past := range d.handover.pastSets {
		if !isKnown(past.hash) {
			head.Past = append(head.Past, hostSetToProto(past))
		}
	}
	for _, l := range d.handover.losses {
		if !isKnown(l.hash()) {
			head.Losses = append(head.Losses, lossToProto(l, now))
		}
	}
	records := make([]*record, 0, len(d.table.records))
	for _, r := range d.table.records {
		records = append(records, r)
	}
	return head, set, records
}

func sendPart(s peer.Stream, part *dedupepb.PullReply) error {
	return s.Send(&dedupepb.Reply{Body: &dedupepb.Reply_Pull{Pull: part}})
}

// markPulled records that the sender has pulled with a set.
func (d *Deduplicator) markPulled(sender Host, set hostSet) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pulledUnder[sender.ID] = set.hash
}

// pullFrom pulls the records that the local host is a holder of from one host, as part of a round of
// the handover.
func (d *Deduplicator) pullFrom(ctx context.Context, from Host, round uint64) error {
	ctx, stop := context.WithTimeout(ctx, d.cfg.Timing.PullTimeout)
	defer stop()
	d.cfg.Events.Record(event.DedupeHandover, event.Fields{Peer: from.ID})
	s, err := d.cfg.Peers.Open(ctx, from.ID, Method)
	if err != nil {
		return err
	}
	defer func() { _ = s.Close() }()
	if deadline, ok := ctx.Deadline(); ok {
		_ = s.SetDeadline(deadline)
	}
	q, current := d.newPullQuestion(round)
	if !current {
		return nil
	}
	if err := s.Send(q); err != nil {
		return err
	}
	return d.receivePull(s, from, round)
}

// newPullQuestion returns the question that starts a pull. It returns false if the round is over.
func (d *Deduplicator) newPullQuestion(round uint64) (*dedupepb.Question, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if round != d.handover.round {
		return nil, false
	}
	hash := d.handover.set.hash
	pull := &dedupepb.Pull{Sender: hostToProto(d.cfg.Self), SetHash: hash[:]}
	for _, h := range d.handover.knownHashes() {
		pull.Known = append(pull.Known, h[:])
	}
	return &dedupepb.Question{Body: &dedupepb.Question_Pull{Pull: pull}}, true
}

// receivePull reads all messages of a pull, merges the records and confirms the host. The host stays
// pending if it uses another set or an error occurs.
func (d *Deduplicator) receivePull(s peer.Stream, from Host, round uint64) error {
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
			past = append(past, hostSetFromProto(m))
		}
		for _, m := range part.Losses {
			losses = append(losses, lossFromProto(m, d.cfg.Clock.Now()))
		}
		if err := d.mergeRecords(part.Records); err != nil {
			return err
		}
		if part.Last {
			break
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.handover.confirm(from, round, warm, past, losses)
	return nil
}

// mergeRecords merges records of another host into the local table.
func (d *Deduplicator) mergeRecords(list []*dedupepb.Record) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.cfg.Clock.Now()
	for _, m := range list {
		r, err := recordFromProto(m, now)
		if err != nil {
			return err
		}
		if !d.table.merge(r, now) {
			return &TableFullError{Records: d.table.total.records}
		}
	}
	return nil
}
