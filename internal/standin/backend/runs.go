package backend

import (
	"sync"
	"time"
)

// RunState is the state of a run.
type RunState string

// States of a run. All but Running are final.
const (
	Running   RunState = "running"
	Finished  RunState = "finished"
	Cancelled RunState = "cancelled"
	Crashed   RunState = "crashed"
	Failed    RunState = "failed"
)

// Run is one execution of a request on a server.
type Run struct {
	Server  string    `json:"server"`
	Method  string    `json:"method"`
	Started time.Time `json:"started"`
	End     RunState  `json:"end"`
}

// RunLog records the runs of all requests, by request id. It is safe for concurrent use. When it is full, it
// evicts the oldest request id.
type RunLog struct {
	mu    sync.Mutex
	limit int
	runs  map[string][]*Run
	order []string // request ids in the order of their first run, a ring buffer once full
	next  int
}

// NewRunLog returns an empty log that keeps the runs of at most limit request ids.
func NewRunLog(limit int) *RunLog {
	return &RunLog{limit: limit, runs: map[string][]*Run{}}
}

// start records a run and returns it. Only end may modify it.
func (l *RunLog) start(id string, run Run) *Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	run.End = Running
	if _, known := l.runs[id]; !known {
		l.addIDLocked(id)
	}
	l.runs[id] = append(l.runs[id], &run)
	return &run
}

func (l *RunLog) addIDLocked(id string) {
	if len(l.order) < l.limit {
		l.order = append(l.order, id)
		return
	}
	delete(l.runs, l.order[l.next])
	l.order[l.next] = id
	l.next = (l.next + 1) % l.limit
}

func (l *RunLog) end(run *Run, end RunState) {
	l.mu.Lock()
	run.End = end
	l.mu.Unlock()
}

// RunsOf returns the runs of the request with the id.
func (l *RunLog) RunsOf(id string) []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	runs := make([]Run, 0, len(l.runs[id]))
	for _, run := range l.runs[id] {
		runs = append(runs, *run)
	}
	return runs
}

// Counts returns the number of runs by request id.
func (l *RunLog) Counts(ids []string) map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := make(map[string]int, len(ids))
	for _, id := range ids {
		counts[id] = len(l.runs[id])
	}
	return counts
}

// Reset deletes all runs.
func (l *RunLog) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = map[string][]*Run{}
	l.order = nil
	l.next = 0
}

// maxRepeatedIDs is the maximum length of Summary.RepeatedUnsafe.
const maxRepeatedIDs = 100

// Summary counts the runs of all requests in the log.
type Summary struct {
	// Requests is the number of request ids. Runs is the number of their runs.
	Requests int `json:"requests"`
	Runs     int `json:"runs"`
	// MaxRuns is the largest number of runs of one request. MaxUnsafeRuns is the same for requests whose
	// method is not safe (RFC 9110, section 9.2.1).
	MaxRuns       int `json:"max_runs"`
	MaxUnsafeRuns int `json:"max_unsafe_runs"`
	// RepeatedUnsafe lists ids of requests that ran more than once with an unsafe method.
	RepeatedUnsafe []string `json:"repeated_unsafe"`
	// Ends counts the runs by state.
	Ends map[RunState]int `json:"ends"`
}

// Summarize returns a summary of all runs in the log.
func (l *RunLog) Summarize() Summary {
	l.mu.Lock()
	defer l.mu.Unlock()
	sum := Summary{Requests: len(l.runs), RepeatedUnsafe: []string{}, Ends: map[RunState]int{}}
	for id, runs := range l.runs {
		sum.add(id, runs)
	}
	return sum
}

func (s *Summary) add(id string, runs []*Run) {
	s.Runs += len(runs)
	s.MaxRuns = max(s.MaxRuns, len(runs))
	unsafe := 0
	for _, run := range runs {
		s.Ends[run.End]++
		if !isSafeMethod(run.Method) {
			unsafe++
		}
	}
	s.MaxUnsafeRuns = max(s.MaxUnsafeRuns, unsafe)
	if unsafe > 1 && len(s.RepeatedUnsafe) < maxRepeatedIDs {
		s.RepeatedUnsafe = append(s.RepeatedUnsafe, id)
	}
}

func isSafeMethod(method string) bool {
	switch method {
	case "GET", "HEAD", "OPTIONS", "TRACE":
		return true
	}
	return false
}
