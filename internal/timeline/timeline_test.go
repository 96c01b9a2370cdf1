package timeline

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"github.com/bilberryline/bilberryline/internal/clock"
	"github.com/bilberryline/bilberryline/internal/event"
	"github.com/bilberryline/bilberryline/internal/peer"
)

// skewedClock is the system clock plus an offset.
type skewedClock struct {
	clock.System
	offset time.Duration
}

func (s skewedClock) Now() time.Time { return time.Now().Add(s.offset) }

func newRecorder(host string, size int, c clock.Clock) *event.Recorder {
	return event.NewRecorder(event.RecorderConfig{
		Host: host, Incarnation: 1, Size: size, Clock: event.NewHybridClock(c), Log: logr.Discard(),
	})
}

// newTestSource returns a source of the events of r.
func newTestSource(t *testing.T, r *event.Recorder) *Source {
	server := httptest.NewServer(event.NewHandler(r, clock.System{}))
	t.Cleanup(server.Close)
	return &Source{Address: strings.TrimPrefix(server.URL, "http://"), Client: http.DefaultClient}
}

func newPeer(t *testing.T, id string, events *event.Recorder, addresses map[string]string) *peer.Node {
	n, err := peer.New(peer.Config{
		Self:   id,
		Listen: "127.0.0.1:0",
		Resolve: func(host string) (string, bool) {
			address, ok := addresses[host]
			return address, ok
		},
		HybridClock: events.Clock(),
		Events:      events,
	})
	if err != nil {
		t.Fatal(err)
	}
	addresses[id] = n.Addr().String()
	t.Cleanup(func() { _ = n.Close(context.Background()) })
	return n
}

// TestCausalOrderUnderClockSkew calls a host over a real peer session. The clocks of the hosts differ by 5 s, so
// physical time alone would misorder the events.
func TestCausalOrderUnderClockSkew(t *testing.T) {
	for _, skew := range []time.Duration{5 * time.Second, -5 * time.Second} {
		is := is.New(t)
		near := newRecorder("near", 64, clock.System{})
		far := newRecorder("far", 64, skewedClock{offset: skew})
		addresses := map[string]string{}
		a, b := newPeer(t, "near", near, addresses), newPeer(t, "far", far, addresses)
		b.Handle("work", func(_ context.Context, s peer.Stream) {
			m := &wrapperspb.StringValue{}
			if s.Recv(m) == nil {
				far.Record(event.RequestGranted, event.Fields{Request: m.Value})
				_ = s.Send(m)
			}
		})
		a.Start()
		b.Start()
		requests := []string{"r1", "r2", "r3"}
		for _, r := range requests {
			near.Record(event.RequestQueued, event.Fields{Request: r})
			is.NoErr(a.Call(context.Background(), "far", "work", wrapperspb.String(r), &wrapperspb.StringValue{}))
			near.Record(event.RequestSent, event.Fields{Request: r})
		}
		entries := Collect(context.Background(), []*Source{newTestSource(t, far), newTestSource(t, near)}, clock.System{})
		var got []string
		for _, e := range entries {
			got = append(got, e.Request+" "+e.Name)
		}
		var want []string
		for _, r := range requests {
			want = append(want, r+" request-queued", r+" request-granted", r+" request-sent")
		}
		is.Equal(got, want)
	}
}

func TestGapsAndUnreachableHostsAreShown(t *testing.T) {
	is := is.New(t)
	r := newRecorder("h", 4, clock.System{})
	source := newTestSource(t, r)
	for range 6 {
		r.Record(event.RequestReceived, event.Fields{Request: "x"})
	}
	gone := &Source{Address: "127.0.0.1:1", Host: "gone", Client: http.DefaultClient}
	filter := Filter{Request: "none"}
	entries := filter.Apply(Collect(context.Background(), []*Source{source, gone}, clock.System{}))
	is.Equal(len(entries), 2)
	is.Equal(entries[0].Type, TypeGap)
	is.Equal(entries[0].Missing, uint64(2))
	is.Equal(entries[1].Type, TypeUnreachable)
	is.Equal(entries[1].Host, "gone")
	again, err := source.Read(context.Background(), 0)
	is.NoErr(err)
	is.Equal(len(again), 0) // each event is returned once
}

func TestRestartIsMarked(t *testing.T) {
	is := is.New(t)
	recorder := newRecorder("h", 4, clock.System{})
	handler := event.NewHandler(recorder, clock.System{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { handler.ServeHTTP(w, r) }))
	defer server.Close()
	source := &Source{Address: strings.TrimPrefix(server.URL, "http://"), Client: http.DefaultClient}
	recorder.Record(event.ProcessStarted, event.Fields{})
	recorder.Record(event.ProcessStopping, event.Fields{})
	_, err := source.Read(context.Background(), 0)
	is.NoErr(err)
	next := event.NewRecorder(event.RecorderConfig{Host: "h", Incarnation: 2, Clock: recorder.Clock(), Log: logr.Discard()})
	next.Record(event.ProcessStarted, event.Fields{})
	handler = event.NewHandler(next, clock.System{})
	entries, err := source.Read(context.Background(), time.Second)
	is.NoErr(err)
	is.Equal(len(entries), 2)
	is.Equal(entries[0].Type, TypeRestart)
	is.Equal(entries[1].Name, "process-started")
}

func TestFollowWritesNewEvents(t *testing.T) {
	is := is.New(t)
	r := newRecorder("h", 16, clock.System{})
	source := newTestSource(t, r)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	r.Record(event.ProcessStarted, event.Fields{})
	var names []string
	find := func(context.Context) []*Source { return []*Source{source} }
	err := Follow(ctx, find, clock.System{}, func(entries []Entry) error {
		for _, e := range entries {
			names = append(names, e.Name)
		}
		if len(names) == 1 {
			r.Record(event.ProcessStopping, event.Fields{})
		}
		if len(names) == 2 {
			cancel()
		}
		return nil
	})
	is.NoErr(err)
	is.Equal(names, []string{"process-started", "process-stopping"})
}

func TestFilterSelectsByFieldsAndEvents(t *testing.T) {
	is := is.New(t)
	ids, err := ParseEvents([]string{"BL1303", "request-queued"})
	is.NoErr(err)
	f := Filter{Service: "slots", Target: "slots-1", Events: ids}
	match := func(id event.ID, fields event.Fields) bool {
		e := newEntry(event.Event{ID: id, Fields: fields})
		return f.Match(&e)
	}
	is.True(match(event.RequestSent, event.Fields{Service: "slots", Target: "slots-1"}))
	is.True(!match(event.RequestSent, event.Fields{Service: "slots", Target: "slots-2"}))
	is.True(!match(event.RequestSent, event.Fields{Service: "other", Target: "slots-1"}))
	is.True(!match(event.RequestAnswered, event.Fields{Service: "slots", Target: "slots-1"}))
	_, err = ParseEvents([]string{"BL9999"})
	var unknown *UnknownEventError
	is.True(errors.As(err, &unknown))
}

func TestFormatsContainAllEntries(t *testing.T) {
	is := is.New(t)
	r := newRecorder("h", 16, clock.System{})
	r.Record(event.RequestSent, event.Fields{Request: "r1", Detail: "</script><b>"})
	r.Record(event.RequestAnswered, event.Fields{Request: "r1"})
	entries := Collect(context.Background(), []*Source{newTestSource(t, r)}, clock.System{})
	write := func(f Format) string {
		var b bytes.Buffer
		is.NoErr(Write(&b, f, entries))
		return b.String()
	}
	is.Equal(strings.Count(write(FormatText), "\n"), 2)
	is.True(strings.Contains(write(FormatText), "BL1303 request-sent"))
	var line Entry
	is.NoErr(json.Unmarshal([]byte(strings.SplitN(write(FormatJSON), "\n", 2)[0]), &line))
	is.Equal(line, entries[0])
	var trace traceFile
	is.NoErr(json.Unmarshal([]byte(write(FormatChrome)), &trace))
	is.Equal(len(trace.TraceEvents), 5) // a process name, two instants, begin and end of the request
	page := write(FormatHTML)
	is.True(!strings.Contains(page, "</script><b>")) // data must not end the script element
	is.True(!strings.Contains(page, "http"))         // no external resources
	_, data, _ := strings.Cut(page, `type="application/json">`)
	data, _, _ = strings.Cut(data, "</script>")
	var shown []Entry
	is.NoErr(json.Unmarshal([]byte(data), &shown))
	is.Equal(shown, entries)
}
