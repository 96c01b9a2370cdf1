package admission

import (
	"slices"
	"time"

	"github.com/bilberryline/bilberryline/internal/balance/expect"
)

const (
	// searchers is the number of requests that may look for a server at once during a shortage. The first in the order
	// may need a faster server than those behind it. The more requests search,
	// the more often a less urgent one takes a slot that becomes free: with 1, 2 and 3 at the crest of the model, the most
	// urgent class was in time 6,049, 5,828 and 5,831 times of 7,500. With 1, a flood of one workspace left the others 0.93
	// of their responses in time, with 2 0.96.
	searchers = 2
	// maxWaiting is the number of requests that may wait during a shortage.
	maxWaiting = 512
	// hopeShare is the fraction of the time between the last start that meets the objective and the last one that meets
	// the deadline for which a late request waits for capacity that no other request wants.
	hopeShare = 0.5
	// spareShare is the fraction of a server's slots that requests leave free for others, floodSpareShare that of callers
	// that flood. yieldShare is the fraction of the time to the last start in time for which requests of less urgent
	// classes do.
	spareShare      = 0.25
	floodSpareShare = 0.5
	yieldShare      = 0.5
)

// Queue holds the requests for one service that wait at a host. The zero value isn't usable; call New.
type Queue struct {
	entries   []*Entry // in order, unless dirty
	dirty     bool
	orderedAt time.Time
	sequence  uint64
	rate      workRate
	standard  float64
	classes   classShares
	callers   fairShares
	demand    callerDemand
	room      serverRoom
}

// New returns an empty queue. standard is the rate, in seconds of work per second, that the host is expected to get from
// the service before there is data.
func New(standard float64) *Queue {
	return &Queue{standard: max(standard, 0.1), room: serverRoom{initialQueueLimit}}
}

// SetStandard updates the rate that is expected without data.
func (q *Queue) SetStandard(rate float64) { q.standard = max(rate, 0.1) }

// ObserveLoad adds the load report of a server of the service.
func (q *Queue) ObserveLoad(now time.Time, r expect.Report) { q.rate.load.Observe(now, r) }

// RecordResponse adds the response to a request that was sent in a shortage because it was expected to be in time.
func (q *Queue) RecordResponse(inTime bool) { q.room.record(inTime) }

// Short reports whether the service is short of capacity: for a good part of the last second, requests waited that had
// found no acceptable server, or the servers report that they are full.
func (q *Queue) Short(now time.Time) bool {
	q.advance(now)
	return q.rate.short
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.entries) }

// advance accounts for the time since the last call and reports whether there is a backlog: requests that wait although
// they have searched.
func (q *Queue) advance(now time.Time) bool {
	backlog := slices.ContainsFunc(q.entries, func(e *Entry) bool { return e.searched })
	q.rate.advance(now, backlog)
	return backlog
}

// Offer adds a request that arrives. If the decision is to refuse it, it isn't added.
func (q *Queue) Offer(now time.Time, r Request) (*Entry, Decision) {
	q.advance(now)
	q.sequence++
	e := &Entry{Request: r, sequence: q.sequence, arrived: now}
	q.demand.offered.add(now, r.Caller)
	q.entries = append(q.entries, e)
	q.dirty = true
	d := q.decide(now, e)
	if d.Action == Refuse {
		q.drop(e)
		q.record(now, e, false)
	}
	return e, d
}

// Decide decides again on a waiting request. A refused request must be removed with Remove.
func (q *Queue) Decide(now time.Time, e *Entry) Decision {
	q.advance(now)
	return q.decide(now, e)
}

// Preview returns the decision on a request that would arrive now. It changes nothing.
func (q *Queue) Preview(now time.Time, r Request) Decision {
	e := &Entry{Request: r, sequence: q.sequence + 1, arrived: now}
	q.entries = append(q.entries, e)
	q.dirty = true
	d := q.decide(now, e)
	q.entries = slices.DeleteFunc(q.entries, func(o *Entry) bool { return o == e })
	q.dirty = true
	return d
}

// NoteSearch records that a waiting request has found no acceptable server, and reports whether that is new.
func (q *Queue) NoteSearch(now time.Time, e *Entry) bool {
	q.advance(now)
	first := !e.searched
	e.searched = true
	return first
}

// Start removes a request that is sent to a server.
func (q *Queue) Start(now time.Time, e *Entry) {
	if q.advance(now) {
		q.rate.work += e.Work.Seconds()
	}
	q.demand.served.add(now, e.Caller)
	q.callers.charge(&e.Request)
	q.drop(e)
	q.record(now, e, true)
}

// Remove removes a request that is refused or whose caller has left.
func (q *Queue) Remove(now time.Time, e *Entry, refused bool) {
	q.advance(now)
	q.drop(e)
	if refused {
		q.record(now, e, false)
	}
}

func (q *Queue) record(now time.Time, e *Entry, served bool) {
	if !e.Resent {
		q.classes.record(now, e.Priority, served)
	}
}

func (q *Queue) drop(e *Entry) {
	q.entries = slices.DeleteFunc(q.entries, func(o *Entry) bool { return o == e })
	q.dirty = true
	if len(q.entries) == 0 {
		q.callers.clear()
	}
}

// Searchers returns the requests that may look for a server now: the first ones in the order, and the first ones of those
// with and of those without restricted servers, since they have different candidates.
func (q *Queue) Searchers(now time.Time) []*Entry {
	q.order(now)
	limit := 1
	if q.rate.short {
		limit = searchers
	}
	var found []*Entry
	counts := map[bool]int{}
	for _, e := range q.entries {
		if e.late && !q.entries[0].late || counts[false] >= limit && counts[true] >= limit {
			break
		}
		if counts[e.Restricted] < limit {
			counts[e.Restricted]++
			found = append(found, e)
		}
	}
	return found
}

// lastStart returns the latest start with which a response by the given time is possible, on a server without other load.
// In trials with the mean ratio of expected response time to work as a factor the figures of the model were the same.
func lastStart(r *Request, by time.Time) time.Time { return by.Add(-r.Work) }

// decide returns the decision on an entry. Without a shortage nothing is refused.
func (q *Queue) decide(now time.Time, e *Entry) Decision {
	q.order(now)
	d := Decision{Action: Wait, Late: e.late, Short: q.rate.short, Waiting: len(q.entries), Position: e.position, Ahead: e.ahead, Rate: q.rate.perSecond(q.standard)}
	d.ExpectedWait = time.Duration(float64(e.ahead) / d.Rate)
	if d.Short {
		if d.Reason = q.refusal(now, e, d.ExpectedWait); d.Reason != "" {
			d.Action = Refuse
			d.RetryAfter = q.roomIn(e, d.Rate)
			return d
		}
		d.Spare, d.QueueLimit = q.spare(now, e), q.room.queueLimit
	}
	if slices.Contains(q.Searchers(now), e) {
		d.Action = Search
	}
	return d
}

// refusal returns why a request is refused during a shortage, or an empty reason.
func (q *Queue) refusal(now time.Time, e *Entry, wait time.Duration) Reason {
	inTime, last := lastStart(&e.Request, e.ObjectiveEnd), lastStart(&e.Request, e.Deadline)
	hope := inTime.Add(time.Duration(hopeShare * float64(max(0, last.Sub(inTime)))))
	switch {
	case now.After(last):
		return DeadlineMissed
	case now.After(hope):
		return Late
	case now.Add(wait).After(last):
		return NoRoom
	case e.position >= maxWaiting:
		return Full
	}
	return ""
}

// spare returns the fraction of a server's slots that the request must leave free. A host doesn't see which requests wait
// at others: late requests and callers that flood leave a part of the slots to them. So do requests of less urgent
// classes, less and less until half of the time to their last start in time has passed.
func (q *Queue) spare(now time.Time, e *Entry) float64 {
	if q.demand.floods(now, &e.Request) {
		return floodSpareShare
	}
	if e.late {
		return spareShare
	}
	if !q.classes.moreUrgent(e.Priority) || e.starved {
		return 0
	}
	patience := yieldShare * float64(lastStart(&e.Request, e.ObjectiveEnd).Sub(e.arrived))
	if patience <= 0 {
		return 0
	}
	return spareShare * max(0, 1-float64(now.Sub(e.arrived))/patience)
}

// roomIn returns the time until the requests that can be in time have started. A slot becomes free for a new request at the
// latest then, and not before a request has run.
func (q *Queue) roomIn(e *Entry, rate float64) time.Duration {
	backlog := time.Duration(0)
	for _, o := range q.entries {
		if o != e && !o.late {
			backlog += o.Work
		}
	}
	return max(time.Duration(float64(backlog)/rate), e.Work)
}
