package registry

import (
	"cmp"
	"fmt"
)

// Revision is a point in the history of the store. The store counts on from an older number when it comes back from an
// older copy of itself, which begins a new era, so numbers alone can't be compared.
type Revision struct {
	// Era is the number of times that the store has come back from a copy, or more. It is zero if the store doesn't say it.
	Era uint64
	// Number is the store's revision.
	Number uint64
}

// Compare returns a negative number if r is older than o, a positive one if it is newer, and zero if both are equal.
func (r Revision) Compare(o Revision) int {
	return cmp.Or(cmp.Compare(r.Era, o.Era), cmp.Compare(r.Number, o.Number))
}

// After reports whether r is newer than o.
func (r Revision) After(o Revision) bool { return r.Compare(o) > 0 }

// IsZero reports whether r is the zero value, which stands for none.
func (r Revision) IsZero() bool { return r == Revision{} }

// String returns the revision for the log.
func (r Revision) String() string {
	if r.Era == 0 {
		return fmt.Sprintf("revision %d", r.Number)
	}
	return fmt.Sprintf("revision %d of era %d", r.Number, r.Era)
}

// later returns the newer revision.
func later(a, b Revision) Revision {
	if b.After(a) {
		return b
	}
	return a
}

// earlier returns the older revision.
func earlier(a, b Revision) Revision {
	if b.After(a) {
		return a
	}
	return b
}
