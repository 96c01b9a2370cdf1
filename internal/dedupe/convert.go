package dedupe

import (
	"time"

	"github.com/bilberryline/bilberryline/internal/dedupe/dedupepb"
)

// Times are sent as remaining durations, so that hosts need no synchronised clocks. The delay of a
// message makes the receiver's time later than the sender's, which is the safe direction.

func recordToProto(r *record, now time.Time) *dedupepb.Record {
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
		Answer:      responseToProto(r.response),
		DueIn:       int64(r.inFlightUntil.Sub(now)),
		ExpiresIn:   int64(r.expiresAt.Sub(now)),
		Window:      int64(r.window),
	}
}

func recordFromProto(m *dedupepb.Record, now time.Time) (*record, error) {
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
		response:      responseFromProto(m.Answer),
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

func responseToProto(r Response) *dedupepb.Answer {
	if r.Status == 0 {
		return nil
	}
	m := &dedupepb.Answer{Status: int32(r.Status), Body: r.Body, Dropped: r.Dropped}
	for _, f := range r.Header {
		m.Header = append(m.Header, &dedupepb.HeaderField{Name: f.Name, Value: f.Value})
	}
	return m
}

func responseFromProto(m *dedupepb.Answer) Response {
	if m == nil {
		return Response{}
	}
	r := Response{Status: int(m.Status), Body: m.Body, Dropped: m.Dropped}
	for _, f := range m.Header {
		r.Header = append(r.Header, HeaderField{Name: f.Name, Value: f.Value})
	}
	return r
}

func hostToProto(h Host) *dedupepb.Host {
	return &dedupepb.Host{Id: h.ID, Incarnation: h.Incarnation, Site: h.Site}
}

func hostFromProto(m *dedupepb.Host) Host {
	return Host{ID: m.GetId(), Incarnation: m.GetIncarnation(), Site: m.GetSite()}
}

func hostsToProto(hosts []Host) []*dedupepb.Host {
	out := make([]*dedupepb.Host, 0, len(hosts))
	for _, h := range hosts {
		out = append(out, hostToProto(h))
	}
	return out
}

func hostsFromProto(list []*dedupepb.Host) []Host {
	out := make([]Host, 0, len(list))
	for _, m := range list {
		out = append(out, hostFromProto(m))
	}
	return out
}

func hostSetToProto(s hostSet) *dedupepb.Hosts { return &dedupepb.Hosts{Hosts: hostsToProto(s.hosts)} }

func hostSetFromProto(m *dedupepb.Hosts) hostSet { return newHostSet(hostsFromProto(m.GetHosts())) }

func lossToProto(l loss, now time.Time) *dedupepb.Loss {
	return &dedupepb.Loss{
		Before:     hostSetToProto(l.before),
		After:      hostSetToProto(l.survivors),
		Age:        int64(now.Sub(l.at)),
		Everything: l.allKeys,
	}
}

func lossFromProto(m *dedupepb.Loss, now time.Time) loss {
	return loss{
		before:    hostSetFromProto(m.Before),
		survivors: hostSetFromProto(m.After),
		at:        now.Add(-time.Duration(m.Age)),
		allKeys:   m.Everything,
	}
}
