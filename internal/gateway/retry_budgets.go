package gateway

import (
	"sync"
	"time"

	"github.com/bilberryline/bilberryline/internal/balance/retry"
)

// budgetShare is the part of the allowed second sends that the hosts spend. The rest covers windows
// that begin with a burst of them.
const budgetShare = 0.9

// hedgeShare is the part of the allowed second sends that copies of slow requests may take. The rest
// is kept for requests that failed, which have no other way to be answered.
const hedgeShare = 0.5

// initialShare is the part of what may be saved up that a host has when it starts. It is small, since a
// host that is started anew may have spent all of it a moment ago.
const initialShare = 1.0 / 3

// retryBudgets limits second sends by service. Each host spends a share of its own requests, so that all
// hosts together keep the bound whatever they know of each other. Its lock is a leaf.
type retryBudgets struct {
	ratio float64 // second sends per request
	slack float64 // second sends that all hosts together may save up

	mu      sync.Mutex
	burst   float64 // second sends that may be saved up on this host
	initial float64 // second sends that this host has at its start
	retries map[string]*retry.Budget
	hedges  map[string]*retry.Budget
}

func newRetryBudgets(ratio, slack float64, hosts int) *retryBudgets {
	b := &retryBudgets{ratio: ratio * budgetShare, slack: slack * budgetShare, retries: make(map[string]*retry.Budget), hedges: make(map[string]*retry.Budget)}
	b.setHosts(hosts)
	return b
}

// setHosts shares what may be saved up among the hosts. Each may save up one second send at least,
// since it could never make one otherwise.
func (b *retryBudgets) setHosts(hosts int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	own := b.slack / float64(max(1, hosts))
	b.burst = max(1, own)
	b.initial = initialShare * own
	for _, budget := range b.retries {
		budget.SetBurst(b.burst)
	}
	for _, budget := range b.hedges {
		budget.SetBurst(b.hedgeBurst())
	}
}

// hedgeBurst is the number of second copies that may be saved up on this host.
func (b *retryBudgets) hedgeBurst() float64 { return max(1, hedgeShare*b.burst) }

func (b *retryBudgets) retriesLocked(service string) *retry.Budget {
	return b.budgetLocked(b.retries, service, 1, b.burst)
}

func (b *retryBudgets) hedgesLocked(service string) *retry.Budget {
	return b.budgetLocked(b.hedges, service, hedgeShare, b.hedgeBurst())
}

// budgetLocked returns a service's budget, which a part of the host's second sends goes to.
func (b *retryBudgets) budgetLocked(in map[string]*retry.Budget, service string, part, burst float64) *retry.Budget {
	budget := in[service]
	if budget == nil {
		budget = retry.NewBudget(retry.BudgetConfig{
			Ratio: part * b.ratio, MinPerSecond: -1, Burst: burst, InitialTokens: part * b.initial,
		})
		in[service] = budget
	}
	return budget
}

// recordRequest notes a request for a service.
func (b *retryBudgets) recordRequest(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.retriesLocked(service).OnFirstAttempt()
	b.hedgesLocked(service).OnFirstAttempt()
}

// spendRetry takes the right to a second send, if there is one.
func (b *retryBudgets) spendRetry(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.retriesLocked(service).Spend(now)
}

// spendHedge takes the right to a second copy of a slow request, if there is one.
func (b *retryBudgets) spendHedge(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.retriesLocked(service).Tokens(now) < 1 || !b.hedgesLocked(service).Spend(now) {
		return false
	}
	return b.retriesLocked(service).Spend(now)
}
