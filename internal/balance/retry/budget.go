// Package retry decides whether a request may be sent again, as a retry after a failure or as a hedge. It
// limits these extra attempts to a share of the traffic.
//
// A call passes through several services, its levels. Each level may retry the request that it sends to
// the next one.
package retry

import "time"

// BudgetConfig configures a Budget. Zero fields take their defaults.
type BudgetConfig struct {
	// Ratio is the number of extra attempts per first attempt, 0 to 1. Default 0.1; a negative value
	// allows only those of MinPerSecond.
	Ratio float64
	// MinPerSecond is the number of extra attempts per second that are allowed in addition, however few
	// first attempts there are. Default 1; a negative value means none.
	MinPerSecond float64
	// Burst is the largest number of tokens that can accumulate. Default 20.
	Burst float64
	// InitialTokens is the number of tokens of a new budget. Default 0.
	InitialTokens float64
}

const (
	defaultRatio        = 0.1
	defaultMinPerSecond = 1.0
	defaultBurst        = 20.0
)

// Budget limits extra attempts to a share of first attempts. First attempts and the passing of time add
// tokens; each extra attempt takes one. It is not safe for concurrent use.
type Budget struct {
	cfg        BudgetConfig
	tokens     float64
	lastRefill time.Time
}

// NewBudget returns a budget that holds cfg.InitialTokens, at most cfg.Burst.
func NewBudget(cfg BudgetConfig) *Budget {
	setDefault(&cfg.Ratio, defaultRatio)
	setDefault(&cfg.MinPerSecond, defaultMinPerSecond)
	setDefault(&cfg.Burst, defaultBurst)
	return &Budget{cfg: cfg, tokens: min(max(0, cfg.InitialTokens), cfg.Burst)}
}

func setDefault(v *float64, d float64) {
	if *v == 0 {
		*v = d
	}
	*v = max(0, *v)
}

// OnFirstAttempt adds BudgetConfig.Ratio tokens for a first attempt.
func (b *Budget) OnFirstAttempt() { b.addTokens(b.cfg.Ratio) }

// Spend takes a token for an extra attempt and reports whether there was one.
func (b *Budget) Spend(now time.Time) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Tokens returns the number of tokens, which is the number of extra attempts that are allowed now.
func (b *Budget) Tokens(now time.Time) float64 {
	b.refill(now)
	return b.tokens
}

// SetBurst changes the largest number of tokens that can accumulate.
func (b *Budget) SetBurst(burst float64) {
	b.cfg.Burst = max(0, burst)
	b.tokens = min(b.tokens, b.cfg.Burst)
}

func (b *Budget) refill(now time.Time) {
	if b.lastRefill.IsZero() {
		b.lastRefill = now
	}
	elapsed := now.Sub(b.lastRefill)
	if elapsed <= 0 {
		return
	}
	b.lastRefill = now
	b.addTokens(b.cfg.MinPerSecond * elapsed.Seconds())
}

func (b *Budget) addTokens(tokens float64) {
	b.tokens = min(b.cfg.Burst, b.tokens+tokens)
}
