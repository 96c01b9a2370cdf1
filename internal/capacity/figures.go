package capacity

import "time"

// Figures are all measurements of one run.
type Figures struct {
	// StartedAt is when the run began.
	StartedAt time.Time
	// Processors is the number of logical processors of the machine.
	Processors int
	// InitialLoadAverage is the one-minute load average at the start.
	InitialLoadAverage float64
	// Quick tells that the run was shortened.
	Quick  bool
	Series []Series
	// Failures lists what could not be measured, with the reasons.
	Failures []error
}

// seriesByID returns the seriesByID with the id, or an empty one.
func (f *Figures) seriesByID(id string) *Series {
	for i := range f.Series {
		if f.Series[i].ID == id {
			return &f.Series[i]
		}
	}
	return &Series{ID: id}
}

// add keeps a slope, or why it is missing.
func (f *Figures) add(s Series, err error) {
	if err != nil {
		f.Failures = append(f.Failures, &MeasureError{Measurement: s.Title, Cause: err})
		return
	}
	f.Series = append(f.Series, s)
}
