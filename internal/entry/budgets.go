package entry

import (
	"sync"
	"time"

	"github.com/bilberryline/bilberryline/internal/balance/retry"
	"github.com/bilberryline/bilberryline/internal/config"
)

// serviceBudgets holds the retry and hedge policies of one service on this host, with their budgets.
type serviceBudgets struct {
	retry retry.Policy
	hedge retry.HedgePolicy
}

// budgetTable holds the budgets of all services. No other lock is acquired while mu is held.
type budgetTable struct {
	mu       sync.Mutex
	services map[string]*serviceBudgets
}

func newBudgetTable() *budgetTable {
	return &budgetTable{services: make(map[string]*serviceBudgets)}
}

// budgetRatio converts a configured ratio to one for retry.BudgetConfig, where zero means the default and a
// negative value means zero.
func budgetRatio(configured float64) float64 {
	if configured <= 0 {
		return -1
	}
	return configured
}

func (t *budgetTable) getLocked(svc *config.Service) *serviceBudgets {
	b := t.services[svc.Name]
	if b == nil {
		b = &serviceBudgets{
			retry: retry.Policy{MaxAttempts: maxAttempts, Budget: retry.NewBudget(retry.BudgetConfig{Ratio: budgetRatio(svc.RetryBudget)})},
			hedge: retry.HedgePolicy{Budget: retry.NewBudget(retry.BudgetConfig{Ratio: budgetRatio(svc.HedgeBudget), MinPerSecond: -1})},
		}
		t.services[svc.Name] = b
	}
	return b
}

// onFirstAttempt records the first attempt of a request, which adds to both budgets.
func (t *budgetTable) onFirstAttempt(svc *config.Service) {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.getLocked(svc)
	b.retry.Budget.OnFirstAttempt()
	b.hedge.Budget.OnFirstAttempt()
}

// mayRetry decides whether to retry and, if so, spends from the retry budget.
func (t *budgetTable) mayRetry(svc *config.Service, now time.Time, a retry.FailedAttempt) retry.Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.getLocked(svc).retry.Decide(now, a)
}

// hedgeDelay returns the time until the hedged request is due, or false if the request must not be hedged.
func (t *budgetTable) hedgeDelay(svc *config.Service, p retry.Pending) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.getLocked(svc).hedge.Delay(p)
}

// mayHedge reports whether a hedged request may be sent now and, if so, spends from the hedge budget.
func (t *budgetTable) mayHedge(svc *config.Service, now time.Time, p retry.Pending) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.getLocked(svc).hedge.Allow(now, p)
}
