package dedupe

// usage counts the records of a table and their size.
type usage struct {
	records int
	bytes   int
}

func (u *usage) add(r *record) {
	u.records++
	u.bytes += r.size()
}

func (u *usage) remove(r *record) {
	u.records--
	u.bytes -= r.size()
}

// fits reports whether one more record of size bytes stays within the limits.
func (u usage) fits(size, maxRecords, maxBytes int) bool {
	return u.records < maxRecords && u.bytes+size <= maxBytes
}
