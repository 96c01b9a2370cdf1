package quota

import (
	"maps"
	"math"
	"slices"
	"time"
)

// Coordinator holds one data centre's part of the tokens of all workspaces. It has state only for workspaces that are in
// use: the bucket of any other one is full, apart from the time since the share was assigned. The Coordinator is not safe
// for concurrent use.
type Coordinator struct {
	bounds  Bounds
	buckets map[string]*bucket
	sweptAt time.Time

	share      float64 // part of each workspace's rate and capacity
	shareAt    time.Time
	priorShare float64 // share before shareAt, if the buckets had time to fill
}

// NewCoordinator returns a Coordinator that has no share and no tokens.
func NewCoordinator(b Bounds) *Coordinator {
	return &Coordinator{bounds: b, buckets: make(map[string]*bucket)}
}

// fillTime is the time after which the bucket of a workspace without requests is taken as full.
const fillTime = time.Minute

// SetShare assigns a part of each workspace's rate and capacity. Tokens beyond the new capacity are dropped, and new ones
// accrue from now on.
func (c *Coordinator) SetShare(share float64, now time.Time) {
	if share == c.share {
		return
	}
	for _, b := range c.buckets {
		c.refresh(b, now)
	}
	c.priorShare = 0
	if now.Sub(c.shareAt) >= fillTime {
		c.priorShare = min(c.share, share)
	}
	c.share, c.shareAt = share, now
	for _, b := range c.buckets {
		c.refresh(b, now)
	}
}

// Begin assigns a share to a coordinator that has none. Tokens accrue from since on, when nobody else accrued them. The
// zero time means now.
func (c *Coordinator) Begin(share float64, since, now time.Time) {
	c.SetShare(share, now)
	if !since.IsZero() && since.Before(now) {
		c.shareAt = since
		for _, b := range c.buckets {
			b.ownAt = since
			c.refresh(b, now)
		}
	}
}

// fillingTime is how long a coordinator that has just got a share, and so has empty buckets, lets requests wait for tokens
// rather than refuse them.
const fillingTime = time.Second

// Filling reports whether the buckets were empty only because the coordinator has just got its share.
func (c *Coordinator) Filling(now time.Time) bool {
	return c.share > 0 && c.priorShare == 0 && now.Sub(c.shareAt) < fillingTime
}

// Share returns the part of each workspace's rate that accrues here.
func (c *Coordinator) Share() float64 { return c.share }

// refresh adds the tokens accrued and expires gifts. Expired gifts stay as far as the own bucket has room.
func (c *Coordinator) refresh(b *bucket, now time.Time) {
	if elapsed := now.Sub(b.ownAt); elapsed > 0 {
		b.own += b.quota.Rate * c.share * elapsed.Seconds()
		b.ownAt = now
	}
	b.expireGifts(now)
	b.own = min(b.own, c.capacity(b.quota))
}

func (c *Coordinator) capacity(q Quota) float64 { return c.share * c.bounds.capacity(q) }

// bucket returns the up-to-date bucket of a workspace.
func (c *Coordinator) bucket(workspace string, q Quota, now time.Time) *bucket {
	c.sweep(now)
	b := c.buckets[workspace]
	if b == nil {
		b = &bucket{quota: q, ownAt: c.shareAt, own: c.priorShare * c.bounds.capacity(q), beliefs: make(map[string]belief)}
		c.buckets[workspace] = b
	}
	c.refresh(b, now)
	if b.quota != q {
		b.quota = q
		c.refresh(b, now)
	}
	b.usedAt = now
	return b
}

// sweep forgets idle workspaces whose buckets are full.
func (c *Coordinator) sweep(now time.Time) {
	if now.Sub(c.sweptAt) < idleAfter {
		return
	}
	c.sweptAt = now
	for name, b := range c.buckets {
		if now.Sub(b.usedAt) <= idleAfter {
			continue
		}
		c.refresh(b, now)
		if len(b.gifts) == 0 && b.own >= min(c.absent(b.quota, now), c.capacity(b.quota)) {
			delete(c.buckets, name)
		}
	}
}

// absent returns the tokens of a workspace that has no bucket.
func (c *Coordinator) absent(q Quota, now time.Time) float64 {
	return c.priorShare*c.bounds.capacity(q) + q.Rate*c.share*now.Sub(c.shareAt).Seconds()
}

// aheadShare is the part of the tokens that a grant may contain beyond those for waiting requests.
const aheadShare = 0.25

// Acquire grants up to want tokens, of which need are for waiting requests. They count as used from now on. arrivals is
// the number of requests that have not been counted before.
func (c *Coordinator) Acquire(workspace string, q Quota, need, want, arrivals int, now time.Time) (granted int) {
	b := c.bucket(workspace, q, now)
	b.demand.add(float64(arrivals), now)
	b.backlog.add(float64(arrivals), q, c.bounds.capacity(q), now)
	whole := int(math.Floor(b.available() + tokenEpsilon))
	granted = min(need, whole)
	if ahead := min(want-need, int(aheadShare*float64(whole-need))); ahead > 0 {
		granted += ahead
	}
	b.spend(float64(granted))
	b.unmet, b.unmetAt = float64(max(need-granted, 0)), now
	return granted
}

// milli is the number of thousandths in a token. Messages between data centres count in thousandths.
const milli = 1000

// tokenEpsilon is the rounding error that is ignored when parts of tokens are added up.
const tokenEpsilon = 1e-6

// Return adds tokens that were granted and not used.
func (c *Coordinator) Return(workspace string, q Quota, n int, now time.Time) {
	b := c.bucket(workspace, q, now)
	b.own = min(b.own+float64(n), c.capacity(q))
}

// reserveTime is the time for whose expected requests a coordinator keeps tokens when others ask for some.
const reserveTime = 100 * time.Millisecond

// Give takes up to want tokens for another data centre from the own bucket. left is what it could have given beyond that.
func (c *Coordinator) Give(workspace string, q Quota, want float64, now time.Time) (given, left float64) {
	b := c.bucket(workspace, q, now)
	reserve := max(b.demand.expected(reserveTime, now)-b.given(), 0)
	spare := max(b.own-reserve, 0)
	given = math.Floor(min(want, spare)*milli+tokenEpsilon) / milli // as the answer states it
	b.own -= given
	return given, spare - given
}

// Receive adds tokens from another data centre that were asked for at a time.
func (c *Coordinator) Receive(workspace, from string, q Quota, given, left float64, askedAt, now time.Time) {
	b := c.bucket(workspace, q, now)
	b.beliefs[from] = belief{left: left, at: now, empty: given <= 0}
	g := gift{given, askedAt.Add(c.bounds.giftLifetime())}
	if given <= 0 || !now.Before(g.end) {
		return
	}
	at, _ := slices.BinarySearchFunc(b.gifts, g, func(a, b gift) int { return a.end.Compare(b.end) })
	b.gifts = slices.Insert(b.gifts, at, g)
}

// DropGifts drops all tokens from other data centres, after a time of unknown length in which they may have expired.
func (c *Coordinator) DropGifts() {
	for _, b := range c.buckets {
		b.gifts = nil
	}
}

// Workspaces returns the names of the workspaces that are in use.
func (c *Coordinator) Workspaces() []string { return slices.Collect(maps.Keys(c.buckets)) }

// Exceeds reports whether the requests at this data centre alone would have used up the tokens of the whole fleet. A few
// requests at the same moment don't: they say little about the demand of a second.
func (c *Coordinator) Exceeds(workspace string, q Quota, now time.Time) bool {
	return c.bucket(workspace, q, now).backlog.leaked(q, now) > c.bounds.capacity(q)
}

// RetryIn estimates when the workspace has a token again.
func (c *Coordinator) RetryIn(workspace string, q Quota, now time.Time) time.Duration {
	b := c.bucket(workspace, q, now)
	missing := max(1-b.available(), 0)
	return min(time.Duration(missing/q.Rate*float64(time.Second)), maxRetryIn)
}

// FilledIn returns when the workspace has a token if none comes from other data centres. There must be a share.
func (c *Coordinator) FilledIn(workspace string, q Quota, now time.Time) time.Duration {
	b := c.bucket(workspace, q, now)
	missing := max(1-b.available(), 0)
	return time.Duration(math.Ceil(missing / (q.Rate * c.share) * float64(time.Second)))
}

// maxRetryIn bounds the estimate of RetryIn, because tokens may come back from other hosts.
const maxRetryIn = 30 * time.Second
