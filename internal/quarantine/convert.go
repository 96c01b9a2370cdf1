package quarantine

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/bilberryline/bilberryline/internal/quarantine/quarantinepb"
)

func fingerprintToProto(fp Fingerprint) *quarantinepb.Fingerprint {
	return &quarantinepb.Fingerprint{Caller: fp.Caller, Service: fp.Service, Sum: fp.Sum[:]}
}

func fingerprintFromProto(m *quarantinepb.Fingerprint) Fingerprint {
	fp := Fingerprint{Caller: m.GetCaller(), Service: m.GetService()}
	copy(fp.Sum[:], m.GetSum())
	return fp
}

// reportToProto and crashFromProto convert times to ages and back, so that the hosts need no common clock.

func reportToProto(crashes []crashReport, clearances []clearance, now time.Time) *quarantinepb.Report {
	out := &quarantinepb.Report{}
	for _, c := range crashes {
		m := &quarantinepb.Crash{Service: c.target.service, Target: c.target.Name, Incarnation: c.target.Incarnation, Age: int64(now.Sub(c.at))}
		for _, fp := range c.suspects {
			m.Suspects = append(m.Suspects, fingerprintToProto(fp))
		}
		out.Crashes = append(out.Crashes, m)
	}
	for _, c := range clearances {
		m := &quarantinepb.Clearance{Fingerprint: fingerprintToProto(c.fp), Age: int64(now.Sub(c.at))}
		out.Clearances = append(out.Clearances, m)
	}
	return out
}

// cutReport removes suspects, then crashes and clearances, from the end of a report until its size is at most limit
// bytes.
func cutReport(r *quarantinepb.Report, limit int) {
	for proto.Size(r) > limit {
		n := len(r.Crashes)
		switch {
		case n > 0 && len(r.Crashes[n-1].Suspects) > 1:
			last := r.Crashes[n-1]
			last.Suspects = last.Suspects[:len(last.Suspects)/2]
		case n > 0:
			r.Crashes = r.Crashes[:n-1]
		case len(r.Clearances) > 0:
			r.Clearances = r.Clearances[:len(r.Clearances)-1]
		default:
			return
		}
	}
}

func crashFromProto(m *quarantinepb.Crash, now time.Time) crashReport {
	r := crashReport{
		target: targetKey{m.Service, Target{Name: m.Target, Incarnation: m.Incarnation}},
		at:     now.Add(-time.Duration(m.Age)),
	}
	for _, fp := range m.Suspects {
		r.suspects = append(r.suspects, fingerprintFromProto(fp))
	}
	return r
}
