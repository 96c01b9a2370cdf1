package quarantine

import (
	"errors"
	"sync"

	"github.com/bilberryline/bilberryline/internal/backend"
)

// CrashDetector detects crashes of backend servers from the outcomes of requests: it records which request is
// in flight at which target, and checks whether a target whose connection broke is down. It is safe for
// concurrent use.
type CrashDetector struct {
	tracker    *Tracker
	background *sync.WaitGroup

	// refuses reports whether an address refuses connections.
	refuses func(address string) bool

	mu     sync.Mutex
	checks map[string]*downCheck // running checks by the target's address
}

// NewCrashDetector returns a CrashDetector that reports to tracker. It adds its running checks to background.
func NewCrashDetector(tracker *Tracker, background *sync.WaitGroup) *CrashDetector {
	return &CrashDetector{
		tracker:    tracker,
		background: background,
		refuses:    refusesConnections,
		checks:     make(map[string]*downCheck),
	}
}

// Tracker returns the Tracker that the detector reports to.
func (d *CrashDetector) Tracker() *Tracker { return d.tracker }

// RequestEnded records how a started request ended at a target. A nil err means that the complete response was
// read.
func (d *CrashDetector) RequestEnded(fp Fingerprint, target Target, address string, err error) {
	switch {
	case err == nil:
		d.tracker.RequestEnded(fp, target, true)
	case IndicatesCrash(err):
		d.tracker.RequestEnded(fp, target, false)
		d.startDownCheck(fp.Service, target, address, fp)
	default:
		d.tracker.RequestCancelled(fp, target)
	}
	d.checkDialFailure(fp, target, address, err)
}

// IndicatesCrash reports whether err is what a crash of the server causes: the connection broke while the request
// was in flight.
func IndicatesCrash(err error) bool {
	var e *backend.ExchangeError
	return errors.As(err, &e) && e.Sent && e.Fault == backend.FaultConnectionBroken
}

// RequestNotSent records that a request failed before it was started. This is no evidence against the request,
// but a failed dial may show that the target is down.
func (d *CrashDetector) RequestNotSent(fp Fingerprint, target Target, address string, err error) {
	d.checkDialFailure(fp, target, address, err)
}

// checkDialFailure starts a check of the target if err is a refused dial.
func (d *CrashDetector) checkDialFailure(fp Fingerprint, target Target, address string, err error) {
	var e *backend.ExchangeError
	if errors.As(err, &e) && e.Fault == backend.FaultDial && isRefusal(err) {
		d.startDownCheck(fp.Service, target, address)
	}
}

// RequestNotRun records that the target declared that it did not run a started request. This is evidence
// neither for nor against the request.
func (d *CrashDetector) RequestNotRun(fp Fingerprint, target Target) {
	d.tracker.RequestCancelled(fp, target)
}

// CheckQuarantine returns a *RefusedError if the request is quarantined, and nil otherwise.
func (d *CrashDetector) CheckQuarantine(fp Fingerprint) error {
	entry, found := d.tracker.Check(fp)
	if found && entry.State == Quarantined {
		return &RefusedError{Entry: entry}
	}
	return nil
}
