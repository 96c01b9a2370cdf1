package gateway

import (
	"errors"
	"fmt"
	"time"

	"github.com/bilberryline/bilberryline/internal/balance/admission"
	"github.com/bilberryline/bilberryline/internal/balance/expect"
	"github.com/bilberryline/bilberryline/internal/event"
)

const (
	// queueTimeShare is the fraction of the time left up to which the expected response time of a server with a queue is
	// harmless in a shortage: the request would be in time even if the queue were several times as long as estimated.
	queueTimeShare = 0.3
	// waitingPollInterval is the interval of the decisions on a request that waits in a shortage behind those that search.
	waitingPollInterval = 50 * time.Millisecond
	// loadedSlotFactor is how much longer requests run on a full server, for the default rate of a host.
	loadedSlotFactor = 1.7
)

// hasRoom reports whether the load of the server leaves room for the request in a shortage.
func (ch choice) hasRoom(terms searchTerms) bool { return ch.load <= terms.decision.MaxLoad(ch.slots) }

// isHarmless reports whether the expected response time is a small part of the time left until the end of the objective,
// so that the request may also wait in a server's queue.
func (ch choice) isHarmless(left time.Duration) bool {
	return float64(ch.expected) <= queueTimeShare*float64(left)
}

// waitRequest returns the request as package admission sees it. A caller that retries sends the time that it has left, so
// that the end of its objective is known. Workspaces with an enforced quota can't flood the service, and their demand may
// come through few hosts, so that their part of a host's requests says nothing.
func (c *call) waitRequest() admission.Request {
	r := admission.Request{
		Priority:     c.scope().Priority(),
		Caller:       c.scope().CallerName(),
		Work:         c.unloadedLatency(),
		ObjectiveEnd: c.req.ReceivedAt.Add(c.route.Objective),
		Deadline:     c.deadline,
		Urgency:      c.deadline.Add(c.route.Objective - c.route.Timeout),
		Restricted:   c.restricted(),
		Resent:       c.placedBefore(),
	}
	if c.workspace == nil {
		return r
	}
	shares := c.g.workspaceShares.of(c.g.fleet.load().view.Routes)
	r.Weight = shares.weight(c.workspace)
	if c.g.cfg.QuotaWindow == 0 || c.workspace.Rate <= 0 {
		r.Share = 1 / float64(shares.count)
	}
	return r
}

// pollInterval returns how long a request waits until the next decision.
func pollInterval(d admission.Decision, holdEnd time.Time) time.Duration {
	switch {
	case !d.Short:
		return min(holdPollInterval, time.Until(holdEnd))
	case d.Action == admission.Search:
		return holdPollInterval
	}
	return waitingPollInterval
}

// shortageError returns the error for a request that is refused in a shortage.
func (c *call) shortageError(d admission.Decision) error {
	return &NoServerError{
		Service: c.service.Name, Registered: len(c.candidates()), Reason: d.Reason, RoomIn: d.RetryAfter, Inputs: describeDecision(d),
	}
}

// describeDecision returns the inputs of a decision for the log.
func describeDecision(d admission.Decision) string {
	return fmt.Sprintf("%d waiting, %s of work ahead at %.2f s/s, expected wait %s, late %t, room in %s",
		d.Waiting, d.Ahead.Round(time.Millisecond), d.Rate, d.ExpectedWait.Round(time.Millisecond), d.Late, d.RetryAfter.Round(time.Millisecond))
}

// noteShortage logs the begin and the end of a shortage.
func (c *call) noteShortage(queue *waitQueue, d admission.Decision) {
	if !queue.shortageChanged(d.Short) {
		return
	}
	if !d.Short {
		c.log(event.GatewayShortageEnded, "", describeDecision(d))
		return
	}
	queue.setStandard(c.standardRate())
	c.log(event.GatewayShortageBegan, "", describeDecision(d))
}

// noteWait records that the request has found no acceptable server.
func (c *call) noteWait(queue *waitQueue, w *waiter) {
	if queue.noteSearch(time.Now(), w) {
		c.g.metrics.waited.WithLabelValues(c.service.Name).Inc()
	}
}

// noteStart records that the request is sent to the chosen server.
func (c *call) noteStart(queue *waitQueue, w *waiter, chosen choice, d admission.Decision) {
	queue.start(time.Now(), w, c.g.distance(chosen.server) == 0)
	if d.Short {
		c.log(event.GatewayWaited, chosen.server.target.ID, describeDecision(d))
	}
}

// recordPromise records whether a response that was expected to be in time in a shortage is.
func (c *call) recordPromise(chosen choice, now time.Time) {
	if chosen.promised {
		c.g.queues.get(c.service.Name).recordResponse(!now.After(c.req.ReceivedAt.Add(c.route.Objective)))
	}
}

// countLate counts a response that is forwarded after the objective.
func (c *call) countLate() {
	if time.Since(c.req.ReceivedAt) > c.route.Objective {
		c.g.metrics.answeredLate.WithLabelValues(c.service.Name).Inc()
	}
}

// refusalReason returns the reason of a refusal for the metric.
func refusalReason(err error) string {
	var noServer *NoServerError
	var refused *RefusedError
	switch {
	case errors.As(err, &noServer) && noServer.Reason != "":
		return string(noServer.Reason)
	case errors.As(err, &noServer):
		return "no-server"
	case errors.As(err, &refused):
		return "server-refused"
	}
	return "other"
}

// standardRate returns the work per second that this host may expect of the service: its share of the slots of its data
// centre, or of all slots if there are none.
func (c *call) standardRate() float64 {
	hosts := c.g.hostsBySite.Load()
	local, all := 0, 0
	for _, s := range c.candidates() {
		all += max(s.target.Slots, 1)
		if s.target.Site == c.g.cfg.Site {
			local += max(s.target.Slots, 1)
		}
	}
	if hosts == nil {
		return float64(all) / defaultHosts / loadedSlotFactor
	}
	if local > 0 {
		return float64(local) / float64(max(1, hosts.bySite[c.g.cfg.Site])) / loadedSlotFactor
	}
	return float64(all) / float64(max(1, hosts.total)) / loadedSlotFactor
}

// sharedLoad holds the data for the estimate of what other hosts have sent to the servers of a service. It is nil unless
// the service is short of capacity: otherwise reports are fresh, and the choice stays as it is.
type sharedLoad struct {
	bySite map[string]expect.Sharing // by data centre of the servers
}

// sharedLoad returns the data for the estimate, or nil.
func (c *call) sharedLoad(now time.Time) *sharedLoad {
	queue := c.g.queues.get(c.service.Name)
	if c.g.cfg.Policy != PolicyLeastExpectedTime || !queue.isShort(now) {
		return nil
	}
	hosts := c.g.hostsBySite.Load()
	if hosts == nil {
		return nil
	}
	servers := make(map[string]int)
	for _, s := range c.g.fleet.load().byService[c.service.Name] {
		servers[s.target.Site]++
	}
	shared := &sharedLoad{bySite: make(map[string]expect.Sharing, len(servers))}
	for site, n := range servers {
		sharers := 0
		if site == c.g.cfg.Site {
			sharers = hosts.bySite[site]
		}
		shared.bySite[site] = queue.sharing(now, site, sharers, n)
	}
	return shared
}

// complete adds the estimate to the state of a server.
func (l *sharedLoad) complete(st *expect.ServerState, s *server) {
	if l == nil {
		return
	}
	sharing := l.bySite[s.target.Site]
	st.MeanWork = sharing.MeanWork
	st.NetChange = expect.NetChange(*st, sharing)
}
