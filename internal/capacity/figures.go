package capacity

import "time"

// Figures contains all measurements of one run.
type Figures struct {
	// StartedAt is the start time of the run.
	StartedAt time.Time
	// Processors is the number of logical processors of the machine.
	Processors int
	// InitialLoadAverage is the one-minute load average at the start.
	InitialLoadAverage float64
	// Quick means that the measurements were shortened.
	Quick  bool
	Series []Series
	// Failures lists the measurements that failed, with the reasons.
	Failures []error
}

// seriesByID returns the series with the id, or an empty one.
func (f *Figures) seriesByID(id string) *Series {
	for i := range f.Series {
		if f.Series[i].ID == id {
			return &f.Series[i]
		}
	}
	return &Series{ID: id}
}

// add adds a series, or a failure if err is not nil.
func (f *Figures) add(s Series, err error) {
	if err != nil {
		f.Failures = append(f.Failures, &MeasureError{Measurement: s.Title, Cause: err})
		return
	}
	f.Series = append(f.Series, s)
}
