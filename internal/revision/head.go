package revision

import "slices"

// HeadKey is the key whose compare-and-swap accepts a revision.
const HeadKey = "bilberryline/head"

// maxHistory is the number of records that the head keeps, its own included.
const maxHistory = 64

// Head is the value of HeadKey.
type Head struct {
	// Format is the version of the value's form.
	Format int `json:"format"`
	// CollectedBelow is the lowest generation that may still have keys in the store.
	CollectedBelow uint64 `json:"collected"`
	// Records are the accepted revisions, newest first, at most maxHistory.
	Records []Record `json:"records"`
}

const headFormat = 1

// Newest returns the record in force, or nil when none has been accepted.
func (h *Head) Newest() *Record {
	if h == nil || len(h.Records) == 0 {
		return nil
	}
	return &h.Records[0]
}

// Revision returns the number of the newest revision, or 0.
func (h *Head) Revision() uint64 {
	if r := h.Newest(); r != nil {
		return r.Revision
	}
	return 0
}

// Find returns the record of a revision. It returns ErrForgotten for one that the history lacks.
func (h *Head) Find(revision uint64) (*Record, error) {
	i := slices.IndexFunc(h.Records, func(r Record) bool { return r.Revision == revision })
	if i < 0 {
		return nil, ErrNotInHistory
	}
	return &h.Records[i], nil
}

// byChangeID returns the record that a change made, or nil.
func (h *Head) byChangeID(change string) *Record {
	i := slices.IndexFunc(h.Records, func(r Record) bool { return r.ChangeID == change })
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

// withRecord returns the head after r has been accepted.
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

// newestGenerationLength returns the number of newest records in one generation.
func (h *Head) newestGenerationLength() int {
	n := 0
	for n < len(h.Records) && h.Records[n].Generation == h.Records[0].Generation {
		n++
	}
	return n
}
