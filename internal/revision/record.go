package revision

import (
	"encoding/hex"
	"time"

	"github.com/bilberryline/bilberryline/internal/revision/revisionpb"
)

const timeFormat = "2006-01-02T15:04:05Z"

// Record describes one accepted revision.
type Record struct {
	// Revision numbers accepted revisions, from 1.
	Revision uint64 `json:"revision"`
	// ChangeID is the id of the change that made the revision.
	ChangeID string `json:"change"`
	// Hash is the hexadecimal hash of the content's manifest.
	Hash string `json:"hash"`
	// Parent is the hash of the revision before.
	Parent string `json:"parent,omitempty"`
	// Generation names the part of the store that holds the content.
	Generation uint64 `json:"generation"`
	Author     string `json:"author"`
	Message    string `json:"message,omitempty"`
	// Time is the author's clock at acceptance.
	Time time.Time `json:"time"`
}

func (r *Record) toProto() *revisionpb.Record {
	if r == nil {
		return nil
	}
	hash, _ := hex.DecodeString(r.Hash)
	return &revisionpb.Record{Revision: r.Revision, Change: r.ChangeID, Hash: hash, Author: r.Author, Time: r.Time.UnixNano()}
}

// recordFromProto reads a record that another host sent, or returns nil when it is absent or malformed.
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
