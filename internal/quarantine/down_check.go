package quarantine

import (
	"context"
	"net"
	"slices"
	"time"
)

// downChecks are the pauses before the attempts to connect to a target whose connection broke: a
// process that crashes may lose its connections a little before it stops listening.
var downChecks = []time.Duration{0, 50 * time.Millisecond, 200 * time.Millisecond}

const (
	// downCheckTimeout bounds one attempt to connect.
	downCheckTimeout = 500 * time.Millisecond
	// settleLimit bounds Settle: the pauses of a check and one exchange with a member.
	settleLimit = 250*time.Millisecond + callTimeout
)

// downCheck finds out whether a target refuses connections.
type downCheck struct {
	done     chan struct{}
	requests []Fingerprint // whose connections to the target broke
}

// check finds out in the background whether the target refuses connections. The requests are those
// whose connections to it broke.
func (w *CrashDetector) check(service, targetName, address string, requests ...Fingerprint) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if running := w.checking[address]; running != nil {
		running.requests = append(running.requests, requests...)
		return
	}
	c := &downCheck{done: make(chan struct{}), requests: requests}
	w.checking[address] = c
	w.background.Go(func() {
		defer w.finish(address, c)
		for _, pause := range downChecks {
			time.Sleep(pause)
			if w.refuses(address) {
				w.keeper.ServerDown(service, targetName, w.keeper.cfg.Clock.Now())
				return
			}
		}
	})
}

func (w *CrashDetector) finish(address string, c *downCheck) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.checking, address)
	close(c.done)
}

// AwaitEvidence waits until it is known whether the targets at which a request's connections broke are down,
// and until the other hosts have that evidence. It is called before the request is sent a third time,
// and before its caller is told that it failed: both may be what crashes the next server.
func (w *CrashDetector) AwaitEvidence(ctx context.Context, fp Fingerprint) error {
	ctx, stop := context.WithTimeout(ctx, settleLimit)
	defer stop()
	if err := awaitAll(ctx, w.checksOf(fp)); err != nil {
		return err
	}
	return w.keeper.AwaitTold(ctx)
}

// checksOf returns the ends of the running checks that a request waits for.
func (w *CrashDetector) checksOf(fp Fingerprint) []chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	var ends []chan struct{}
	for _, c := range w.checking {
		if slices.Contains(c.requests, fp) {
			ends = append(ends, c.done)
		}
	}
	return ends
}

func refusesConnections(address string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), downCheckTimeout)
	defer cancel()
	var dialer net.Dialer
	c, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return true
	}
	c.Close()
	return false
}
