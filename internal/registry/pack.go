package registry

import (
	"bytes"
	"compress/flate"
	"io"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/bilberryline/bilberryline/internal/registry/registrypb"
)

const (
	// maxUnpackedSize bounds decompressed data, in bytes. The store's values are smaller.
	maxUnpackedSize = 16 << 20
	// packedTTL is how long packed records are reused while nothing changes. The remaining warm-up times in
	// them are wrong by up to this much.
	packedTTL = 500 * time.Millisecond
)

// packedRecords caches all targets, hosts and evacuations in compressed form. Followers that connect at the same time, as
// after a restart of all hosts, are sent the same bytes.
type packedRecords struct {
	data     []byte
	sequence uint64 // number of the newest local change included
	builtAt  time.Time
}

// packRecordsLocked returns all targets, hosts and evacuations in compressed form.
func (r *Registry) packRecordsLocked(now time.Time) []byte {
	if p := r.packed; p.data != nil && p.sequence == r.sequence && now.Sub(p.builtAt) < packedTTL {
		return p.data
	}
	all := &registrypb.Records{}
	for _, t := range r.targets {
		all.Targets = append(all.Targets, targetToProto(&t.Target, now))
	}
	for _, h := range r.hosts {
		all.Hosts = append(all.Hosts, hostToProto(&h.Host, now))
	}
	for _, e := range r.evacuations {
		all.Evacuations = append(all.Evacuations, evacuationToProto(&e.Evacuation, now))
	}
	data, err := proto.Marshal(all)
	if err != nil {
		panic(err) // can't happen: the messages hold plain fields only
	}
	r.packed = packedRecords{data: deflate(data), sequence: r.sequence, builtAt: now}
	return r.packed.data
}

// minPackedChanges is the number of records from which on changes are compressed.
const minPackedChanges = 16

// packedChanges caches the compressed changes that a follower got. Those that follow in lockstep are sent the same bytes.
type packedChanges struct {
	data     []byte
	from, to uint64 // numbers of the newest local changes before and after the update
	builtAt  time.Time
}

// packChangesLocked replaces the records of an update with many changes by their compressed form. Servers register by the
// thousand within seconds, at a start or after an outage.
func (r *Registry) packChangesLocked(u *registrypb.Update, sub *subscriber, now time.Time) {
	if len(u.Targets)+len(u.Hosts)+len(u.Evacuations) < minPackedChanges {
		return
	}
	lockstep := sub.started && !sub.full
	if p := r.packedChanges; lockstep && p.data != nil && p.from == sub.sentSequence && p.to == r.sequence && now.Sub(p.builtAt) < packedTTL {
		u.Packed = p.data
	} else {
		data, err := proto.Marshal(&registrypb.Records{Targets: u.Targets, Hosts: u.Hosts, Evacuations: u.Evacuations})
		if err != nil {
			panic(err) // can't happen: the messages hold plain fields only
		}
		u.Packed = deflate(data)
		if lockstep {
			r.packedChanges = packedChanges{data: u.Packed, from: sub.sentSequence, to: r.sequence, builtAt: now}
		}
	}
	u.Targets, u.Hosts, u.Evacuations = nil, nil, nil
}

func unpackRecords(data []byte) (*registrypb.Records, error) {
	plain, err := inflate(data)
	if err != nil {
		return nil, err
	}
	all := &registrypb.Records{}
	return all, proto.Unmarshal(plain, all)
}

// deflate compresses data for another host (RFC 1951). Traffic between data centres costs more than the
// processor time.
func deflate(plain []byte) []byte {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		panic(err) // can't happen: the level is a valid constant
	}
	_, _ = w.Write(plain) // writing to a bytes.Buffer never fails
	_ = w.Close()
	return b.Bytes()
}

func inflate(data []byte) ([]byte, error) {
	plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxUnpackedSize+1))
	if err == nil && len(plain) > maxUnpackedSize {
		return nil, errTooLarge
	}
	return plain, err
}
