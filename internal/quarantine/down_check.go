package quarantine

import (
	"context"
	"errors"
	"net"
	"slices"
	"syscall"
	"time"
)

// downCheckDelays are the pauses before each attempt to connect to a target whose connection broke. There is
// more than one attempt because a crashing process may lose its connections shortly before it stops listening.
var downCheckDelays = []time.Duration{0, 50 * time.Millisecond, 200 * time.Millisecond}

const (
	// downCheckTimeout bounds one attempt to connect.
	downCheckTimeout = 500 * time.Millisecond
	// awaitEvidenceTimeout bounds AwaitEvidence: the sum of downCheckDelays and one call to a member.
	awaitEvidenceTimeout = 250*time.Millisecond + callTimeout
)

// downCheck is a running check whether a target refuses connections.
type downCheck struct {
	done     chan struct{} // closed when the check ends
	requests []Fingerprint // requests whose connections to the target broke
}

// startDownCheck checks in the background whether the target refuses connections. The requests are those whose
// connections to it broke. They join a check of the same address that is already running.
func (d *CrashDetector) startDownCheck(service string, target Target, address string, requests ...Fingerprint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if running := d.checks[address]; running != nil {
		running.requests = append(running.requests, requests...)
		return
	}
	c := &downCheck{done: make(chan struct{}), requests: requests}
	d.checks[address] = c
	d.background.Go(func() {
		defer d.finishDownCheck(address, c)
		for _, pause := range downCheckDelays {
			time.Sleep(pause)
			if d.refuses(address) {
				d.tracker.ServerDown(service, target, d.tracker.cfg.Clock.Now())
				return
			}
		}
	})
}

func (d *CrashDetector) finishDownCheck(address string, c *downCheck) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.checks, address)
	close(c.done)
}

// AwaitEvidence waits until it is known whether the targets at which a request's connections broke are down,
// and until the other hosts have that evidence. It must be called before the request is sent a third time and
// before its failure is returned to the caller, who may retry: either may crash the next server. It returns the
// context's error if the context, or awaitEvidenceTimeout, ends first.
func (d *CrashDetector) AwaitEvidence(ctx context.Context, fp Fingerprint) error {
	ctx, stop := context.WithTimeout(ctx, awaitEvidenceTimeout)
	defer stop()
	if err := awaitAll(ctx, d.pendingChecks(fp)); err != nil {
		return err
	}
	return d.tracker.AwaitDelivery(ctx)
}

// pendingChecks returns the done channels of the running checks that involve a request.
func (d *CrashDetector) pendingChecks(fp Fingerprint) []chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	var pending []chan struct{}
	for _, c := range d.checks {
		if slices.Contains(c.requests, fp) {
			pending = append(pending, c.done)
		}
	}
	return pending
}

// refusesConnections reports whether the address refuses or resets TCP connections, which shows that no process
// accepts them. A timeout or a local fault, such as too many open files, shows nothing: it also occurs under load,
// and no single request makes a whole machine unreachable.
func refusesConnections(address string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), downCheckTimeout)
	defer cancel()
	var dialer net.Dialer
	c, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return isRefusal(err)
	}
	c.Close()
	return false
}

// isRefusal reports whether the error of a dial shows that no process accepts connections at the address.
func isRefusal(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
}
