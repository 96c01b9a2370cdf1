package quarantine

import (
	"errors"
	"sync"

	"github.com/bilberryline/bilberryline/internal/backend"
)

// CrashDetector gathers the evidence about requests that crash the servers that run them: which request was
// in flight where, and whether a target whose connection broke is down. It is safe for concurrent use.
type CrashDetector struct {
	keeper     *Tracker
	background *sync.WaitGroup

	// refuses tells whether an address refuses connections.
	refuses func(address string) bool

	mu       sync.Mutex
	checking map[string]*downCheck // by the target's address
}

// NewCrashDetector returns a watch that reports to keeper. Its checks count as background work.
func NewCrashDetector(keeper *Tracker, background *sync.WaitGroup) *CrashDetector {
	return &CrashDetector{
		keeper:     keeper,
		background: background,
		refuses:    refusesConnections,
		checking:   make(map[string]*downCheck),
	}
}

// Tracker returns the keeper that the watch reports to.
func (w *CrashDetector) Tracker() *Tracker { return w.keeper }

// RequestEnded notes how an exchange that had started at a target ended. A nil err means a whole answer.
func (w *CrashDetector) RequestEnded(fp Fingerprint, targetName, address string, err error) {
	switch {
	case err == nil:
		w.keeper.Ended(fp, targetName, true)
	case IndicatesCrash(err):
		w.keeper.Ended(fp, targetName, false)
		w.check(fp.Service, targetName, address, fp)
	default:
		w.keeper.Cancelled(fp, targetName)
	}
	w.checkUnreached(fp, targetName, address, err)
}

// IndicatesCrash tells whether an exchange ended as it does when the request crashes the server: the
// connection died in mid-request.
func IndicatesCrash(err error) bool {
	var e *backend.ExchangeError
	return errors.As(err, &e) && e.Sent && e.Fault == backend.FaultBroken
}

// RequestNotSent notes that an exchange failed before it was started. It tells of the target at most.
func (w *CrashDetector) RequestNotSent(fp Fingerprint, targetName, address string, err error) {
	w.checkUnreached(fp, targetName, address, err)
}

func (w *CrashDetector) checkUnreached(fp Fingerprint, targetName, address string, err error) {
	var e *backend.ExchangeError
	if errors.As(err, &e) && e.Fault == backend.FaultDial {
		w.check(fp.Service, targetName, address)
	}
}

// RequestNotRun notes that the target declared that it did not run the request, which says nothing about
// the request.
func (w *CrashDetector) RequestNotRun(fp Fingerprint, targetName string) {
	w.keeper.Cancelled(fp, targetName)
}

// CheckQuarantine returns the reason to refuse a request, or nil.
func (w *CrashDetector) CheckQuarantine(fp Fingerprint) error {
	entry, watched := w.keeper.Check(fp)
	if watched && entry.State == Quarantined {
		return &RefusedError{Entry: entry}
	}
	return nil
}
