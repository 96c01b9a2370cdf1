package quota

import "time"

// Bounds states how far the requests of a workspace in any window may exceed its quota: they are at most
// (rate x Window + burst) x (1 + Excess) + Slack.
type Bounds struct {
	// Window is the length of the windows. Zero means that quotas are not enforced.
	Window time.Duration
	// Excess is a fraction of the quota, Slack a number of requests.
	Excess float64
	Slack  float64
}

// The excess of the rate is divided among the times for which tokens exist outside of the bucket: a token that is granted
// at the end of one window may be used in the next. The last quarter is for a data centre that is cut off while the others
// already use its share.
const (
	giftShareOfExcess     = 0.5
	tokenShareOfExcess    = 0.25
	isolatedShareOfExcess = 0.125
	// capacityShare is the part of the burst's excess and of the slack that enlarges the bucket, so that callers below the
	// limit whose arrivals vary are not refused. The rest covers requests that a host sends late, after a pause.
	capacityShare = 0.5
)

// minLifetime is the least lifetime of tokens outside of a bucket. It covers a round trip between regions.
const minLifetime = 50 * time.Millisecond

// giftLifetime is the time for which tokens from another data centre may be granted, since they were asked for.
func (b Bounds) giftLifetime() time.Duration { return b.lifetime(giftShareOfExcess) }

// tokenLifetime is the time for which a host may use a token, since it was asked for.
func (b Bounds) tokenLifetime() time.Duration { return b.lifetime(tokenShareOfExcess) }

func (b Bounds) lifetime(share float64) time.Duration {
	return max(time.Duration(share*b.Excess*float64(b.Window)), minLifetime)
}

// Quota is the limit of one workspace.
type Quota struct {
	// Rate is the number of requests per second. Zero means no limit.
	Rate float64
	// Burst is the number of requests beyond that.
	Burst float64
}

// capacity returns the capacity of the workspace's bucket, summed over all data centres.
func (b Bounds) capacity(q Quota) float64 {
	return q.Burst*(1+capacityShare*b.Excess) + capacityShare*b.Slack
}
