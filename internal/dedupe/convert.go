package dedupe

import (
	"time"

	"github.com/bilberryline/bilberryline/internal/dedupe/dedupepb"
)

// Times are sent as remaining durations, so that hosts need no synchronised clocks. The delay of a
// message makes the receiver's time later than the sender's, which is the safe direction.

func recordToWire(r *record, now time.Time) *dedupepb.Record {
	return &dedupepb.Record{
		Caller:  r.id.Caller,
		Service: r.id.Service,
		Key:     r.id.Key,
		Region:  r.region,
		Run: &dedupepb.Run{
			Taker:       r.run.Origin,
			Incarnation: r.run.Incarnation,
			Sequence:    r.run.Sequence,
		},
		Fingerprint: r.fingerprint[:],
		State:       dedupepb.State(r.state),
		Answer:      answerToWire(r.answer),
		DueIn:       int64(r.inFlightUntil.Sub(now)),
		ExpiresIn:   int64(r.expiresAt.Sub(now)),
		Window:      int64(r.window),
	}
}

func recordFromWire(m *dedupepb.Record, now time.Time) (*record, error) {
	if m == nil || m.Run == nil {
		return nil, &MessageError{Part: "record"}
	}
	r := &record{
		id:     ID{Caller: m.Caller, Service: m.Service, Key: m.Key},
		region: m.Region,
		run: Run{
			Origin:      m.Run.Taker,
			Incarnation: m.Run.Incarnation,
			Sequence:    m.Run.Sequence,
		},
		state:         State(m.State),
		answer:        answerFromWire(m.Answer),
		inFlightUntil: now.Add(time.Duration(m.DueIn)),
		expiresAt:     now.Add(time.Duration(m.ExpiresIn)),
		window:        time.Duration(m.Window),
	}
	if len(m.Fingerprint) != len(r.fingerprint) {
		return nil, &MessageError{Part: "fingerprint"}
	}
	copy(r.fingerprint[:], m.Fingerprint)
	if r.state < InFlight || r.state > Finished {
		return nil, &MessageError{Part: "state"}
	}
	return r, nil
}

func answerToWire(a Response) *dedupepb.Answer {
	if a.Status == 0 {
		return nil
	}
	m := &dedupepb.Answer{Status: int32(a.Status), Body: a.Body, Dropped: a.Dropped}
	for _, f := range a.Header {
		m.Header = append(m.Header, &dedupepb.HeaderField{Name: f.Name, Value: f.Value})
	}
	return m
}

func answerFromWire(m *dedupepb.Answer) Response {
	if m == nil {
		return Response{}
	}
	a := Response{Status: int(m.Status), Body: m.Body, Dropped: m.Dropped}
	for _, f := range m.Header {
		a.Header = append(a.Header, HeaderField{Name: f.Name, Value: f.Value})
	}
	return a
}

func hostToWire(h Host) *dedupepb.Host {
	return &dedupepb.Host{Id: h.ID, Incarnation: h.Incarnation, Site: h.Site}
}

func hostFromWire(m *dedupepb.Host) Host {
	return Host{ID: m.GetId(), Incarnation: m.GetIncarnation(), Site: m.GetSite()}
}

func hostsToWire(hosts []Host) []*dedupepb.Host {
	out := make([]*dedupepb.Host, 0, len(hosts))
	for _, h := range hosts {
		out = append(out, hostToWire(h))
	}
	return out
}

func hostsFromWire(list []*dedupepb.Host) []Host {
	out := make([]Host, 0, len(list))
	for _, m := range list {
		out = append(out, hostFromWire(m))
	}
	return out
}

func setToWire(s hostSet) *dedupepb.Hosts { return &dedupepb.Hosts{Hosts: hostsToWire(s.hosts)} }

func setFromWire(m *dedupepb.Hosts) hostSet { return newHostSet(hostsFromWire(m.GetHosts())) }

func lossToWire(l loss, now time.Time) *dedupepb.Loss {
	return &dedupepb.Loss{
		Before:     setToWire(l.before),
		After:      setToWire(l.survivors),
		Age:        int64(now.Sub(l.at)),
		Everything: l.allKeys,
	}
}

func lossFromWire(m *dedupepb.Loss, now time.Time) loss {
	return loss{
		before:    setFromWire(m.Before),
		survivors: setFromWire(m.After),
		at:        now.Add(-time.Duration(m.Age)),
		allKeys:   m.Everything,
	}
}
