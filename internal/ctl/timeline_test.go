package ctl

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/bilberryline/bilberryline/internal/clock"
	"github.com/bilberryline/bilberryline/internal/event"
	"github.com/bilberryline/bilberryline/internal/timeline"
)

// serveHost serves the paths of an entry host's admin listener that the timeline command requests. members points to
// the JSON of the members in /status.
func serveHost(t *testing.T, id string, hybrid *event.HybridClock, members *string) (address string, r *event.Recorder) {
	r = event.NewRecorder(event.RecorderConfig{Host: id, Incarnation: 1, Clock: hybrid, Log: logr.Discard()})
	mux := http.NewServeMux()
	mux.Handle("/events", event.NewHandler(r, clock.System{}))
	mux.HandleFunc("/status", func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintf(w, `{"host":%q,"members":[%s]}`, id, *members)
	})
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://"), r
}

func TestTimelineFindsHostsAndMergesTheirEvents(t *testing.T) {
	is := is.New(t)
	hybrid := event.NewHybridClock(clock.System{})
	members := ""
	first, a := serveHost(t, "a", hybrid, &members)
	second, b := serveHost(t, "b", hybrid, &members)
	members = fmt.Sprintf(`{"id":"a","admin_address":%q},{"id":"b","admin_address":%q,"state":"leaving"},`+
		`{"id":"c","admin_address":"127.0.0.1:1","state":"suspect"},{"id":"d","admin_address":"127.0.0.1:2","state":"dead"}`, first, second)
	a.Record(event.RequestReceived, event.Fields{Request: "r1"})
	b.Record(event.RequestGranted, event.Fields{Request: "r1"})
	a.Record(event.RequestReceived, event.Fields{Request: "r2"})
	a.Record(event.RequestSent, event.Fields{Request: "r1"})
	env := &testEnv{t: t, store: "http://127.0.0.1:1"}
	code, out, errOut := env.run("--host", first, "timeline", "--request", "r1", "--format", "json")
	is.Equal(errOut, "")
	is.Equal(code, ExitOK)
	var got []string
	for _, line := range strings.Split(strings.TrimSpace(out), "\n") {
		var e timeline.Entry
		is.NoErr(json.Unmarshal([]byte(line), &e))
		got = append(got, e.Host+" "+string(e.Type)+" "+e.Name)
	}
	is.Equal(got, []string{
		"a event request-received", "b event request-granted", "a event request-sent", "c unreachable ",
	})
}

func TestTimelineRejectsInvalidFlags(t *testing.T) {
	is := is.New(t)
	env := &testEnv{t: t, store: "http://127.0.0.1:1"}
	for _, args := range [][]string{
		{"timeline"},
		{"--host", "127.0.0.1:1", "timeline", "--event", "no-such-event"},
		{"--host", "127.0.0.1:1", "timeline", "--format", "svg"},
		{"--host", "127.0.0.1:1", "timeline", "--since", "-1s"},
		{"--host", "127.0.0.1:1", "timeline", "--follow", "--format", "html"},
	} {
		code, _, _ := env.run(args...)
		is.Equal(code, ExitUsage)
	}
}
