package revision

import "slices"

// HeadKey is the key whose compare-and-swap accepts a revision.
const HeadKey = "bilberryline/head"

// maxHistory is the number of records that the head retains, including the newest.
const maxHistory = 64

// Head is the value of HeadKey.
type Head struct {
	// Format is the version of the value's encoding.
	Format int `json:"format"`
	// CollectedBelow is the lowest generation that may still have keys in the store. All lower
	// generations have been deleted.
	CollectedBelow uint64 `json:"collected"`
	// Records are the accepted revisions, newest first, at most maxHistory.
	Records []Record `json:"records"`
}

const headFormat = 1

// Newest returns the newest record, or nil when no revision has been accepted.
func (h *Head) Newest() *Record {
	if h == nil || len(h.Records) == 0 {
		return nil
	}
	return &h.Records[0]
}

// Revision returns the number of the newest revision, or 0 when none has been accepted.
func (h *Head) Revision() uint64 {
	if r := h.Newest(); r != nil {
		return r.Revision
	}
	return 0
}

// Find returns the record of a revision, or ErrNotInHistory when the head has no record of it.
func (h *Head) Find(revision uint64) (*Record, error) {
	i := slices.IndexFunc(h.Records, func(r Record) bool { return r.Revision == revision })
	if i < 0 {
		return nil, ErrNotInHistory
	}
	return &h.Records[i], nil
}

// byChangeID returns the record of the revision that a change created, or nil.
func (h *Head) byChangeID(id string) *Record {
	i := slices.IndexFunc(h.Records, func(r Record) bool { return r.ChangeID == id })
	if i < 0 {
		return nil
	}
	return &h.Records[i]
}

// newerThan returns the records newer than revision.
func (h *Head) newerThan(revision uint64) []Record {
	var records []Record
	for _, r := range h.Records {
		if r.Revision > revision {
			records = append(records, r)
		}
	}
	return records
}

// withRecord returns a new head with r as its newest record.
func (h *Head) withRecord(r Record) *Head {
	records := append([]Record{r}, h.Records...)
	next := &Head{Format: headFormat, CollectedBelow: h.CollectedBelow, Records: records}
	if len(records) > maxHistory {
		next.Records = records[:maxHistory]
	}
	return next
}

// oldestGeneration returns the lowest generation that a record refers to.
func (h *Head) oldestGeneration() uint64 {
	if len(h.Records) == 0 {
		return 1
	}
	return h.Records[len(h.Records)-1].Generation
}

// newestGenerationLength returns the number of records in the newest generation.
func (h *Head) newestGenerationLength() int {
	n := 0
	for n < len(h.Records) && h.Records[n].Generation == h.Records[0].Generation {
		n++
	}
	return n
}
