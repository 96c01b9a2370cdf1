package revision

import (
	"encoding/hex"
	"time"

	"github.com/bilberryline/bilberryline/internal/revision/revisionpb"
)

const timeFormat = "2006-01-02T15:04:05Z"

// Record describes one accepted revision.
type Record struct {
	// Revision is the revision's number. The first is 1.
	Revision uint64 `json:"revision"`
	// ChangeID is the id of the change that created the revision.
	ChangeID string `json:"change"`
	// Hash is the hexadecimal hash of the content's manifest.
	Hash string `json:"hash"`
	// Parent is the hash of the previous revision.
	Parent string `json:"parent,omitempty"`
	// Generation is the number of the key prefix in the store that holds the content.
	Generation uint64 `json:"generation"`
	Author     string `json:"author"`
	Message    string `json:"message,omitempty"`
	// Time is the time of acceptance by the author's clock.
	Time time.Time `json:"time"`
}

func (r *Record) toProto() *revisionpb.Record {
	if r == nil {
		return nil
	}
	hash, _ := hex.DecodeString(r.Hash)
	return &revisionpb.Record{Revision: r.Revision, Change: r.ChangeID, Hash: hash, Author: r.Author, Time: r.Time.UnixNano()}
}

// recordFromProto converts a record received from another host. It returns nil when the record is
// absent or malformed.
func recordFromProto(m *revisionpb.Record) *Record {
	if m.GetRevision() == 0 || len(m.GetHash()) != len(Hash{}) {
		return nil
	}
	return &Record{
		Revision: m.GetRevision(),
		ChangeID: m.GetChange(),
		Hash:     hex.EncodeToString(m.GetHash()),
		Author:   m.GetAuthor(),
		Time:     time.Unix(0, m.GetTime()),
	}
}
