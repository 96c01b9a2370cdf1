// Package retry decides whether a request may be sent a second time, after a failure or as a hedge,
// and keeps second sends within a share of the traffic.
package retry

import "time"

// BudgetConfig configures a Budget. Zero fields take their defaults.
type BudgetConfig struct {
	// Ratio is the number of second sends per first send, 0 to 1. Default 0.1; a negative value
	// allows none but those of MinPerSecond.
	Ratio float64
	// MinPerSecond is the number of second sends a second that are allowed however few first sends
	// there are. Default 1; a negative value means none.
	MinPerSecond float64
	// Burst is the largest number of second sends that may be saved up. Default 20.
	Burst float64
	// InitialTokens is the number of second sends that are saved up at the start. Default 0.
	InitialTokens float64
}

const (
	defaultShare        = 0.1
	defaultMinPerSecond = 1.0
	defaultBurst        = 20.0
)

// Budget limits second sends to a share of first sends. Tokens are earned by first sends and by
// time and spent by second sends. It is not safe for concurrent use.
type Budget struct {
	cfg    BudgetConfig
	tokens float64
	last   time.Time
}

// NewBudget returns a budget with the tokens of its start.
func NewBudget(cfg BudgetConfig) *Budget {
	setDefault(&cfg.Ratio, defaultShare)
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

// OnFirstAttempt notes a first send.
func (b *Budget) OnFirstAttempt() { b.earn(b.cfg.Ratio) }

// Spend takes a token for a second send. It reports whether there was one.
func (b *Budget) Spend(now time.Time) bool {
	b.pass(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Tokens returns the number of second sends that are allowed now.
func (b *Budget) Tokens(now time.Time) float64 {
	b.pass(now)
	return b.tokens
}

// SetBurst changes the largest number of second sends that may be saved up.
func (b *Budget) SetBurst(burst float64) {
	b.cfg.Burst = max(0, burst)
	b.tokens = min(b.tokens, b.cfg.Burst)
}

func (b *Budget) pass(now time.Time) {
	if b.last.IsZero() {
		b.last = now
	}
	elapsed := now.Sub(b.last)
	if elapsed <= 0 {
		return
	}
	b.last = now
	b.earn(b.cfg.MinPerSecond * elapsed.Seconds())
}

func (b *Budget) earn(tokens float64) {
	b.tokens = min(b.cfg.Burst, b.tokens+tokens)
}
