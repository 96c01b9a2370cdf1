package admission

const (
	// The number of requests that a host lets wait in a server's queue in a shortage, by its expectation of the load: at
	// first, least and most. One keeps the slots busy although reports are old. In the model, limits by the number of slots
	// were worse for servers of two slots: 0.88 instead of 0.95 of the worth at a load that servers can bear.
	initialQueueLimit = 1.0
	minQueueLimit     = 0.25
	maxQueueLimit     = 1.5
	// lateResponseStep is how much a late response lowers the limit, and lateResponseGoal the fraction of late responses at
	// which the limit stays.
	lateResponseStep = 0.2
	lateResponseGoal = 0.07
)

// serverRoom controls how long the queues at servers may become in a shortage, as CoDel does by the delay that it
// observes. A queue at a server keeps its slots busy although reports are old, but requests wait there in the order of
// their arrival, and can't be refused any more. How much is right depends on how much slower a full server is, which
// differs between deployments: where its slots share a processor, it gets less work done than with a free slot.
type serverRoom struct{ queueLimit float64 }

// record adds the response to a request that was sent because it was expected to be in time.
func (r *serverRoom) record(inTime bool) {
	if inTime {
		r.queueLimit = min(maxQueueLimit, r.queueLimit+lateResponseStep*lateResponseGoal/(1-lateResponseGoal))
		return
	}
	r.queueLimit = max(minQueueLimit, r.queueLimit-lateResponseStep)
}
