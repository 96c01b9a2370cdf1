package dedupe

import "time"

// table holds the records of one host. It has no clock and no lock: callers pass the current time and
// hold Deduplicator.mu.
type table struct {
	limits  Limits
	records map[ID]*record
	total   usage
	callers map[string]*usage // by caller name, for callers that have records
}

func newTable(limits Limits) *table {
	return &table{
		limits:  limits,
		records: map[ID]*record{},
		callers: map[string]*usage{},
	}
}

// get returns the record of a key, or nil if there is none. An expired record is deleted.
func (t *table) get(id ID, now time.Time) *record {
	r := t.records[id]
	if r == nil {
		return nil
	}
	if r.expired(now) {
		t.delete(id)
		return nil
	}
	return r
}

// hasRoom reports whether a new record is within the limits.
func (t *table) hasRoom(r *record) bool {
	caller := t.callerUsage(r.id.Caller)
	return t.total.fits(r.size(), t.limits.Records, t.limits.Bytes) &&
		caller.fits(r.size(), t.limits.CallerRecords, t.limits.CallerBytes)
}

// put stores a record and replaces the previous record of its key. A response that exceeds a limit
// is reduced to its status.
func (t *table) put(r *record) {
	t.delete(r.id)
	if r.response.size() > t.limits.MaxResponseBytes || !t.responseFits(r) {
		r = r.withStatusOnly()
	}
	t.records[r.id] = r
	t.total.add(r)
	usage := t.callerUsage(r.id.Caller)
	usage.add(r)
	t.callers[r.id.Caller] = usage
}

// merge stores a record, or keeps the held record of the key if that one is to be preferred. It
// returns false if the key is new and the table has reached the limit for records of other hosts.
func (t *table) merge(r *record, now time.Time) bool {
	held := t.get(r.id, now)
	if held != nil {
		t.put(preferredRecord(held, r))
		return true
	}
	if t.total.records >= transferFactor*t.limits.Records {
		return false
	}
	t.put(r)
	return true
}

// sweep deletes the expired records.
func (t *table) sweep(now time.Time) {
	for id, r := range t.records {
		if r.expired(now) {
			t.delete(id)
		}
	}
}

// responseFits reports whether the record can be stored with its whole response.
func (t *table) responseFits(r *record) bool {
	if r.response.size() == 0 {
		return true
	}
	caller := t.callerUsage(r.id.Caller)
	return t.total.bytes+r.size() <= t.limits.Bytes && caller.bytes+r.size() <= t.limits.CallerBytes
}

// callerUsage returns the usage of a caller, or a new zero usage if the caller has no records.
func (t *table) callerUsage(name string) *usage {
	if u := t.callers[name]; u != nil {
		return u
	}
	return &usage{}
}

func (t *table) delete(id ID) {
	r := t.records[id]
	if r == nil {
		return
	}
	delete(t.records, id)
	t.total.remove(r)
	caller := t.callers[id.Caller]
	caller.remove(r)
	if caller.records == 0 {
		delete(t.callers, id.Caller)
	}
}
