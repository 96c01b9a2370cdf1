package entry

import (
	"sync"
	"time"

	"github.com/bilberryline/bilberryline/internal/balance/retry"
	"github.com/bilberryline/bilberryline/internal/config"
)

// serviceBudgets limit the second sends of one service from this host.
type serviceBudgets struct {
	retry retry.Policy
	hedge retry.HedgePolicy
}

// budgetTable holds the budgets of all services. Its lock is a leaf.
type budgetTable struct {
	mu       sync.Mutex
	services map[string]*serviceBudgets
}

func newBudgetTable() *budgetTable {
	return &budgetTable{services: make(map[string]*serviceBudgets)}
}

// budgetRatio maps a configured budgetRatio to that of a retry.Budget, where zero means the default.
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

// onFirstAttempt notes the onFirstAttempt send of a request.
func (t *budgetTable) onFirstAttempt(svc *config.Service) {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.getLocked(svc)
	b.retry.Budget.OnFirstAttempt()
	b.hedge.Budget.OnFirstAttempt()
}

// mayRetry decides on another send and spends the budget when it allows it.
func (t *budgetTable) mayRetry(svc *config.Service, now time.Time, a retry.FailedAttempt) retry.Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.getLocked(svc).retry.Decide(now, a)
}

// hedgeDelay returns how long after the send a second copy is due.
func (t *budgetTable) hedgeDelay(svc *config.Service, p retry.Pending) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.getLocked(svc).hedge.Delay(p)
}

// mayHedge decides on a second copy and spends the budget when it allows it.
func (t *budgetTable) mayHedge(svc *config.Service, now time.Time, p retry.Pending) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.getLocked(svc).hedge.Allow(now, p)
}
