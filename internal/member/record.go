package member

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/bilberryline/bilberryline/internal/member/memberpb"
)

// supersedes reports whether record a takes precedence over record b of the same host.
func supersedes(a, b *memberpb.Record) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	if a.Version != b.Version {
		return a.Version > b.Version
	}
	return a.State > b.State
}

// incarnationKey identifies one incarnation of a host in messages.
func incarnationKey(id string, incarnation uint64) uint32 {
	return uint32(recordHash(id, incarnation, 0, 0))
}

// recordHash returns a record's contribution to the digest that two hosts compare.
func recordHash(id string, incarnation uint64, version uint32, state memberpb.State) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(id)
	var b [13]byte
	binary.LittleEndian.PutUint64(b[:], incarnation)
	binary.LittleEndian.PutUint32(b[8:], version)
	b[12] = byte(state)
	_, _ = d.Write(b[:])
	return d.Sum64()
}

// isActive reports whether the record's host is believed to be running.
func isActive(r *memberpb.Record) bool {
	return r.State == memberpb.State_STATE_ALIVE || r.State == memberpb.State_STATE_LEAVING
}
