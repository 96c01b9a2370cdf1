package silence

import (
	"math"
	"time"
)

const (
	// UnansweredRatio is the multiple of its expected response time beyond which a request without a response is
	// observed as unanswered. Slow requests are among them, equally at crowded and at other servers.
	UnansweredRatio = 2.0
	// observationHalfLife is the time in which an observation loses half of its weight. Demand beyond the slots recurs
	// within minutes.
	observationHalfLife = 2 * time.Minute
	// minUnanswered is the weight of unanswered requests at crowded servers from which a service may count as silent.
	minUnanswered = 3.5
	// minServers is the number of servers at which they were unanswered. A single server may have another fault.
	minServers = 3
	// minUnansweredShare is the share of the requests to crowded servers that is unanswered, minContrast how many times
	// larger than that of the requests to other servers it is, and minDeviations how many standard deviations lie between
	// the two. Slow requests and servers that lose responses regardless of their load raise both shares.
	minUnansweredShare = 0.1
	minContrast        = 3.0
	minDeviations      = 3.3
	// silentFor is how long a service counts as silent after the last sign of it. A host that avoids full servers sees
	// few signs.
	silentFor = 10 * time.Minute
	// minRefusals is the weight of refusals by full servers from which a service counts as refusing. A server that refuses
	// for another reason may look full now and then.
	minRefusals = 2.5
	// refusingFor is how long a service doesn't count as silent after its full servers refused requests.
	refusingFor = 10 * time.Minute
)

// Observation is the end of a request, or that it is unanswered.
type Observation struct {
	// Server is the server's name.
	Server string
	// Crowded is set if the server was probably at or near its slots when the request was sent.
	Crowded bool
	// Ratio is the time since the send as a multiple of the expected response time.
	Ratio float64
}

// Detector observes one service. The zero value has no observations. It is not safe for concurrent use.
type Detector struct {
	answered   [2]float64 // decaying counts as of updatedAt; index 1 is for crowded servers
	unanswered [2]float64
	ratios     [len(ratioEdges)]float64 // answered requests with at least this ratio
	updatedAt  time.Time
	servers    [minServers]serverSign // latest servers with unanswered requests while crowded
	refusals   float64                // decaying count of refusals by full servers, as of updatedAt
	refusedAt  time.Time              // latest refusal by a full server when there were enough
	silentAt   time.Time              // latest time at which the observations showed silence
}

type serverSign struct {
	name string
	at   time.Time
}

// Answered adds a complete response.
func (d *Detector) Answered(o Observation, now time.Time) {
	d.decay(now)
	d.answered[class(o.Crowded)]++
	for i, edge := range ratioEdges {
		if o.Ratio >= edge {
			d.ratios[i]++
		}
	}
}

// Unanswered adds a request without a response. It must be called only for servers that still answer others. Requests
// that took less than UnansweredRatio are ignored.
func (d *Detector) Unanswered(o Observation, now time.Time) {
	if o.Ratio < UnansweredRatio {
		return
	}
	d.decay(now)
	d.unanswered[class(o.Crowded)]++
	if o.Crowded {
		d.addSign(o.Server, now)
	}
	if d.looksSilent(now) {
		d.silentAt = now
	}
}

// RefusedWhenFull adds an explicit refusal by a full server. After several, the service is not silent.
func (d *Detector) RefusedWhenFull(now time.Time) {
	d.decay(now)
	d.refusals++
	if d.refusals < minRefusals {
		return
	}
	d.refusedAt = now
	d.silentAt = time.Time{}
}

// Silent reports whether the servers of the service probably stay silent when they are full.
func (d *Detector) Silent(now time.Time) bool {
	return !d.silentAt.IsZero() && now.Sub(d.silentAt) < silentFor
}

// looksSilent reports whether the observations show that full servers don't answer.
func (d *Detector) looksSilent(now time.Time) bool {
	if !d.refusedAt.IsZero() && now.Sub(d.refusedAt) < refusingFor {
		return false
	}
	if d.unanswered[1] < minUnanswered {
		return false
	}
	for _, s := range d.servers {
		if s.at.IsZero() || now.Sub(s.at) > observationHalfLife {
			return false
		}
	}
	crowded, other := d.unansweredShare(true), d.unansweredShare(false)
	if crowded < minUnansweredShare || crowded < minContrast*other {
		return false
	}
	nCrowded, nOther := d.answered[1]+d.unanswered[1], d.answered[0]+d.unanswered[0]
	pooled := (d.unanswered[0] + d.unanswered[1]) / (nCrowded + nOther)
	deviation := math.Sqrt(pooled * (1 - pooled) * (1/nCrowded + 1/max(nOther, 1)))
	return crowded-other >= minDeviations*deviation
}

// unansweredShare returns the share of the requests to crowded or to other servers that is unanswered, 0 without any.
func (d *Detector) unansweredShare(crowded bool) float64 {
	i := class(crowded)
	return d.unanswered[i] / max(d.answered[i]+d.unanswered[i], 1)
}

// addSign records an unanswered request at a crowded server in place of the same server or the oldest.
func (d *Detector) addSign(server string, now time.Time) {
	oldest := 0
	for i, s := range d.servers {
		if s.name == server {
			oldest = i
			break
		}
		if s.at.Before(d.servers[oldest].at) {
			oldest = i
		}
	}
	d.servers[oldest] = serverSign{server, now}
}

// decay reduces the weight of the observations by the time since the last call.
func (d *Detector) decay(now time.Time) {
	if !d.updatedAt.IsZero() {
		f := math.Exp2(-float64(now.Sub(d.updatedAt)) / float64(observationHalfLife))
		for i := range d.answered {
			d.answered[i] *= f
			d.unanswered[i] *= f
		}
		for i := range d.ratios {
			d.ratios[i] *= f
		}
		d.refusals *= f
	}
	d.updatedAt = now
}

func class(crowded bool) int {
	if crowded {
		return 1
	}
	return 0
}
