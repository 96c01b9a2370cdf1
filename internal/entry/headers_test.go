package entry

import (
	"errors"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bilberryline/bilberryline/internal/front"
	"github.com/bilberryline/bilberryline/internal/setting"
)

func TestForwardHeaderDropsHopByHopFields(t *testing.T) {
	is := is.New(t)
	r := &front.Request{
		Host:       "shop.example",
		RemoteAddr: netip.MustParseAddrPort("[2001:db8::1]:4000"),
		Header: http.Header{
			"Connection": {"close, X-Private"}, "X-Private": {"1"}, "Te": {"trailers"}, "Upgrade": {"h2c"},
			"Keep-Alive": {"5"}, "Accept": {"*/*"}, "Via": {"1.0 edge"},
		},
	}
	h := forwardHeader(r, "00-x")
	for _, name := range []string{"Connection", "X-Private", "Te", "Upgrade", "Keep-Alive"} {
		is.Equal(h.Get(name), "")
	}
	is.Equal(h.Get("Accept"), "*/*")
	is.Equal(strings.Join(h["Via"], ","), "1.0 edge,1.1 bilberryline")
	is.Equal(h.Get("Forwarded"), `for="[2001:db8::1]";host="shop.example";proto=http`)
	is.Equal(r.Header.Get("X-Private"), "1") // the caller's request is not modified
}

func TestTraceContextContinuesTheCallersTrace(t *testing.T) {
	const trace = "4bf92f3577b34da6a3ce929d0e0e4736"
	tests := []struct {
		name, field string
		kept        bool
	}{
		{"valid", "00-" + trace + "-00f067aa0ba902b7-01", true},
		{"absent", "", false},
		{"zero trace", "00-" + strings.Repeat("0", 32) + "-00f067aa0ba902b7-01", false},
		{"upper case", "00-" + strings.ToUpper(trace) + "-00f067aa0ba902b7-01", false},
		{"short", "00-4bf9-00f067aa0ba902b7-01", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			id, parent := traceContext(http.Header{"Traceparent": {tt.field}})
			is.Equal(id == trace, tt.kept)
			is.True(isHex(id, 32))
			is.True(strings.HasPrefix(parent, "00-"+id+"-"))
		})
	}
}

func TestEchoedTraceparentTellsResponsesApart(t *testing.T) {
	is := is.New(t)
	c := &call{traceparent: "00-0123-45-00"}
	is.True(c.matchesRequest(http.Header{}))
	is.True(c.matchesRequest(http.Header{headerTraceparent: {"00-0123-45-00"}}))
	is.True(!c.matchesRequest(http.Header{headerTraceparent: {"00-9876-54-00"}})) // of an earlier request
}

func TestParseLoadReportReadsORCAReports(t *testing.T) {
	tests := []struct {
		field       string
		utilization float64
		inFlight    int
	}{
		{`JSON {"cpu_utilization":0.3,"named_metrics":{"in_flight":4}}`, 0.3, 4},
		{`JSON {"cpu_utilization":0.3,"application_utilization":0.7}`, 0.7, -1},
		{`TEXT cpu_utilization=0.5, named_metrics.in_flight=2`, 0.5, 2},
		{`JSON {"cpu_utilization":`, -1, -1},
		{`BIN AAAA`, -1, -1},
		{``, -1, -1},
	}
	for _, tt := range tests {
		t.Run(tt.field, func(t *testing.T) {
			is := is.New(t)
			rep := parseLoadReport(http.Header{headerLoad: {tt.field}})
			is.Equal(rep.utilization, tt.utilization)
			is.Equal(rep.inFlight, tt.inFlight)
		})
	}
}

func TestRequestDeadlineIsTheShorterOfRouteAndCaller(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	at := func(field string) time.Duration {
		r := &front.Request{ReceivedAt: now, Header: http.Header{headerDeadline: {field}}}
		return requestDeadline(r, time.Second).Sub(now)
	}
	is.Equal(at(""), time.Second)
	is.Equal(at("300"), 300*time.Millisecond)
	is.Equal(at("30000"), time.Second)
	is.Equal(at("-5"), time.Second)
	is.Equal(at("0"), time.Duration(0))
}

func TestSettingsCheckNamesTheInvalidFlag(t *testing.T) {
	valid := func() *Settings {
		return &Settings{
			ID: "e1", Listen: defaultListen, ListenPeer: defaultListenPeer, ListenAdmin: defaultListenAdmin,
			ConfigFile: "base.yaml", Policy: PolicyOwner, LogFormat: "json", ShutdownLimit: time.Second,
			MaxEntryHosts: 1, KeyHolders: 2, EventRing: 1, MaxBodyBytes: 1, MaxBufferedBytes: 1, MaxConnections: 1,
		}
	}
	is.New(t).NoErr(valid().Check())
	tests := []struct {
		flag   string
		change func(*Settings)
	}{
		{"--id", func(s *Settings) { s.ID = "" }},
		{"--listen", func(s *Settings) { s.Listen = "localhost:80" }},
		{"--listen-peer", func(s *Settings) { s.ListenPeer = "1.2.3.4" }},
		{"--config", func(s *Settings) { s.ConfigFile = "" }},
		{"--policy", func(s *Settings) { s.Policy = "best" }},
		{"--log-format", func(s *Settings) { s.LogFormat = "xml" }},
		{"--shutdown-limit", func(s *Settings) { s.DrainDelay = time.Minute }},
		{"--key-cold-hold", func(s *Settings) { s.KeyColdHold = -time.Second }},
		{"--key-holders", func(s *Settings) { s.KeyHolders = 3 }},
		{"--max-entry-hosts", func(s *Settings) { s.MaxEntryHosts = 0 }},
	}
	for _, tt := range tests {
		t.Run(tt.flag, func(t *testing.T) {
			is := is.New(t)
			s := valid()
			tt.change(s)
			var err *setting.InvalidError
			is.True(errors.As(s.Check(), &err))
			is.Equal(err.Flag, tt.flag)
			is.True(err.Allowed != "")
		})
	}
}
