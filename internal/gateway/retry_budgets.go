package gateway

import (
	"sync"
	"time"

	"github.com/bilberryline/bilberryline/internal/balance/retry"
)

// budgetShare is the fraction of the allowed resends that the hosts use. The rest covers windows in which the number of
// requests changes fast.
const budgetShare = 0.9

// hedgeShare is the fraction of the resends that hedges may use. The rest is reserved for retries of failed requests,
// which have no other chance of a response.
const hedgeShare = 0.5

// initialShare is the fraction of a host's slack that is available in the first window after its start. It is small
// because a restarted host may have used all of its slack just before.
const initialShare = 1.0 / 3

// retryBudgets limits the resends (retries and hedges) of each service in each window. Each host may resend a fraction of
// its own requests, so that all hosts together stay within the limit without coordination. Its lock is a leaf.
type retryBudgets struct {
	cfg retryBudgetConfig

	mu      sync.Mutex
	hosts   int
	started time.Time                // first request, zero before it
	resends map[string]*retry.Window // by service
	hedges  map[string]*retry.Window // by service
}

// retryBudgetConfig holds the limits for all hosts together.
type retryBudgetConfig struct {
	ratio  float64       // resends per request
	slack  float64       // resends in a window beyond the ratio
	window time.Duration // length of a window
}

func newRetryBudgets(cfg retryBudgetConfig, hosts int) *retryBudgets {
	return &retryBudgets{cfg: cfg, hosts: max(1, hosts), resends: make(map[string]*retry.Window), hedges: make(map[string]*retry.Window)}
}

// setHosts divides the slack among the given number of hosts.
func (b *retryBudgets) setHosts(hosts int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hosts = max(1, hosts)
}

// windowLocked returns the window of a service in the given map, with a fraction of the host's resends.
func (b *retryBudgets) windowLocked(windows map[string]*retry.Window, service string, fraction float64, now time.Time) *retry.Window {
	if b.started.IsZero() {
		b.started = now
	}
	w := windows[service]
	if w == nil {
		w = retry.NewWindow(b.cfg.window)
		windows[service] = w
	}
	share := b.cfg.slack / float64(b.hosts)
	if now.Sub(b.started) < b.cfg.window {
		share *= initialShare
	}
	w.Ratio, w.Allowance = fraction*budgetShare*b.cfg.ratio, fraction*budgetShare*share
	return w
}

func (b *retryBudgets) resendsLocked(service string, now time.Time) *retry.Window {
	return b.windowLocked(b.resends, service, 1, now)
}

func (b *retryBudgets) hedgesLocked(service string, now time.Time) *retry.Window {
	return b.windowLocked(b.hedges, service, hedgeShare, now)
}

// recordRequest adds a request to the budgets of a service.
func (b *retryBudgets) recordRequest(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.resendsLocked(service, now).OnFirstAttempt(now)
	b.hedgesLocked(service, now).OnFirstAttempt(now)
}

// spendRetry reports whether a service may resend a request, and charges its budget if so.
func (b *retryBudgets) spendRetry(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.resendsLocked(service, now).Spend(now)
}

// spendHedge reports whether a service may hedge a request, and charges both the resend and the hedge budget if so.
func (b *retryBudgets) spendHedge(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.resendsLocked(service, now).Available(now) < 1 || !b.hedgesLocked(service, now).Spend(now) {
		return false
	}
	return b.resendsLocked(service, now).Spend(now)
}
