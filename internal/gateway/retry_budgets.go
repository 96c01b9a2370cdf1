package gateway

import (
	"sync"
	"time"

	"github.com/bilberryline/bilberryline/internal/balance/retry"
)

// budgetShare is the fraction of the allowed resends that the hosts use. The rest covers windows that begin with a
// burst of resends.
const budgetShare = 0.9

// hedgeShare is the fraction of the resends that hedges may use. The rest is reserved for retries of failed requests,
// which have no other chance of a response.
const hedgeShare = 0.5

// initialShare is the fraction of a host's burst that is available when it starts. It is small because a restarted
// host may have used all of its burst just before.
const initialShare = 1.0 / 3

// retryBudgets limits the resends (retries and hedges) of each service. Each host may resend a fraction of its own
// requests, so that all hosts together stay within the limit without coordination. Its lock is a leaf.
type retryBudgets struct {
	ratio float64 // resends per request, scaled by budgetShare
	slack float64 // burst of all hosts together, scaled by budgetShare

	mu      sync.Mutex
	burst   float64                  // capacity of a service's budget on this host, in resends
	initial float64                  // initial tokens of a service's budget, in resends
	resends map[string]*retry.Budget // by service
	hedges  map[string]*retry.Budget // by service
}

func newRetryBudgets(ratio, slack float64, hosts int) *retryBudgets {
	b := &retryBudgets{ratio: ratio * budgetShare, slack: slack * budgetShare, resends: make(map[string]*retry.Budget), hedges: make(map[string]*retry.Budget)}
	b.setHosts(hosts)
	return b
}

// setHosts divides the burst among the given number of hosts. The burst of a host is at least 1, without which it
// could never resend a request.
func (b *retryBudgets) setHosts(hosts int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	share := b.slack / float64(max(1, hosts))
	b.burst = max(1, share)
	b.initial = initialShare * share
	for _, budget := range b.resends {
		budget.SetBurst(b.burst)
	}
	for _, budget := range b.hedges {
		budget.SetBurst(b.hedgeBurstLocked())
	}
}

// hedgeBurstLocked returns the capacity of a service's hedge budget on this host.
func (b *retryBudgets) hedgeBurstLocked() float64 { return max(1, hedgeShare*b.burst) }

func (b *retryBudgets) resendBudgetLocked(service string) *retry.Budget {
	return b.budgetLocked(b.resends, service, 1, b.burst)
}

func (b *retryBudgets) hedgeBudgetLocked(service string) *retry.Budget {
	return b.budgetLocked(b.hedges, service, hedgeShare, b.hedgeBurstLocked())
}

// budgetLocked returns the budget of a service in the given map. A new budget gets the given fraction of the host's
// resends.
func (b *retryBudgets) budgetLocked(budgets map[string]*retry.Budget, service string, fraction, burst float64) *retry.Budget {
	budget := budgets[service]
	if budget == nil {
		budget = retry.NewBudget(retry.BudgetConfig{
			Ratio: fraction * b.ratio, MinPerSecond: -1, Burst: burst, InitialTokens: fraction * b.initial,
		})
		budgets[service] = budget
	}
	return budget
}

// recordRequest adds a request to the budgets of a service.
func (b *retryBudgets) recordRequest(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.resendBudgetLocked(service).OnFirstAttempt()
	b.hedgeBudgetLocked(service).OnFirstAttempt()
}

// spendRetry reports whether a service may resend a request, and charges its budget if so.
func (b *retryBudgets) spendRetry(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.resendBudgetLocked(service).Spend(now)
}

// spendHedge reports whether a service may hedge a request, and charges both the resend and the hedge budget if so.
func (b *retryBudgets) spendHedge(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.resendBudgetLocked(service).Tokens(now) < 1 || !b.hedgeBudgetLocked(service).Spend(now) {
		return false
	}
	return b.resendBudgetLocked(service).Spend(now)
}
