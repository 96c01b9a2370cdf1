package quota

import (
	"math"
	"time"
)

// Limiter holds the tokens of one host by workspace. A request takes one token. The Limiter is not safe for concurrent use.
type Limiter struct {
	bounds     Bounds
	workspaces map[string]*holding
	sweptAt    time.Time
}

// holding is what a host holds of one workspace.
type holding struct {
	tokens       int
	expiresAt    time.Time
	returns      int       // unused tokens to give back
	issuer       Issuer    // who granted tokens and returns
	refusedUntil time.Time // no token is expected to be available until then
	demand       demand
	uncounted    int // requests that no coordinator has been told of
	usedAt       time.Time
}

// Issuer identifies one start of a coordinator.
type Issuer struct {
	Host  string
	Epoch uint64
}

const (
	// batchShare is the part of a token's lifetime for which a host asks for tokens in advance. Tokens that a host holds
	// are missing elsewhere.
	batchShare = 0.6
	// maxBatch bounds the tokens in one grant.
	maxBatch = 64
	// idleAfter is the time after which a workspace without requests is forgotten.
	idleAfter = 5 * time.Second
)

// NewLimiter returns a Limiter without tokens.
func NewLimiter(b Bounds) *Limiter { return &Limiter{bounds: b, workspaces: make(map[string]*holding)} }

// Arrive counts a request of the workspace.
func (l *Limiter) Arrive(workspace string, now time.Time) {
	l.sweep(now)
	h := l.workspaces[workspace]
	if h == nil {
		h = &holding{}
		l.workspaces[workspace] = h
	}
	h.demand.add(1, now)
	h.uncounted++
	h.usedAt = now
}

// Arrivals returns the number of requests since the last call.
func (l *Limiter) Arrivals(workspace string) int {
	h := l.workspaces[workspace]
	if h == nil {
		return 0
	}
	n := h.uncounted
	h.uncounted = 0
	return n
}

// Take uses a token, if there is one that has not expired.
func (l *Limiter) Take(workspace string, now time.Time) bool {
	h := l.workspaces[workspace]
	if h == nil {
		return false
	}
	h.expire(now)
	if h.tokens == 0 {
		return false
	}
	h.tokens--
	return true
}

// expire moves expired tokens to those that are given back.
func (h *holding) expire(now time.Time) {
	if h.tokens > 0 && !now.Before(h.expiresAt) {
		h.returns += h.tokens
		h.tokens = 0
	}
}

// Refused returns how long no token is expected to be available, or zero if the coordinator should be asked.
func (l *Limiter) Refused(workspace string, now time.Time) time.Duration {
	if h := l.workspaces[workspace]; h != nil {
		return max(h.refusedUntil.Sub(now), 0)
	}
	return 0
}

// Refuse records that the coordinator has no token for some time.
func (l *Limiter) Refuse(workspace string, d time.Duration, now time.Time) {
	if h := l.workspaces[workspace]; h != nil {
		h.refusedUntil = now.Add(d)
	}
}

// Batch returns the number of tokens to ask for when some requests wait: one for each, and what is expected to be used
// before the tokens expire.
func (l *Limiter) Batch(workspace string, waiting int, now time.Time) int {
	h := l.workspaces[workspace]
	if h == nil {
		return waiting
	}
	ahead := h.demand.expected(time.Duration(batchShare*float64(l.bounds.tokenLifetime())), now)
	return min(max(waiting, int(math.Round(ahead))), waiting+maxBatch)
}

// Receive adds tokens that were asked for at a time.
func (l *Limiter) Receive(workspace string, n int, issuer Issuer, askedAt, now time.Time) {
	h := l.workspaces[workspace]
	if h == nil || n <= 0 {
		return
	}
	h.expire(now)
	if h.issuer != issuer {
		h.issuer, h.returns = issuer, 0
	}
	end := askedAt.Add(l.bounds.tokenLifetime())
	if h.tokens == 0 || end.Before(h.expiresAt) {
		h.expiresAt = end
	}
	h.tokens += n
}

// Refund takes back the token of a request that has not run. It is given back to the coordinator.
func (l *Limiter) Refund(workspace string) {
	if h := l.workspaces[workspace]; h != nil {
		h.returns++
	}
}

// Returns removes and returns the number of tokens of a workspace to give back to their issuer.
func (l *Limiter) Returns(workspace string, now time.Time) (int, Issuer) {
	h := l.workspaces[workspace]
	if h == nil {
		return 0, Issuer{}
	}
	h.expire(now)
	n := h.returns
	h.returns = 0
	return n, h.issuer
}

// Pending lists the workspaces with tokens to give back.
func (l *Limiter) Pending(now time.Time) (names []string) {
	for name, h := range l.workspaces {
		h.expire(now)
		if h.returns > 0 {
			names = append(names, name)
		}
	}
	return names
}

// sweep forgets idle workspaces.
func (l *Limiter) sweep(now time.Time) {
	if now.Sub(l.sweptAt) < idleAfter {
		return
	}
	l.sweptAt = now
	for name, h := range l.workspaces {
		if now.Sub(h.usedAt) > idleAfter {
			delete(l.workspaces, name)
		}
	}
}

// Drop drops all tokens, after a time of unknown length in which they may have expired.
func (l *Limiter) Drop() {
	for _, h := range l.workspaces {
		h.tokens, h.returns = 0, 0
	}
}
