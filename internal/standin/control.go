package standin

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/bilberryline/bilberryline/internal/standin/backend"
	"github.com/bilberryline/bilberryline/internal/standin/hosts"
	"github.com/bilberryline/bilberryline/internal/standin/kv"
)

// BackendUpdate is the body of PUT /backends/NAME. Omitted settings keep their values.
type BackendUpdate struct {
	backend.Settings
	// Down stops the server if true and starts it if false.
	Down *bool `json:"down"`
	// Silent makes the open connections discard all further traffic.
	Silent bool `json:"silent"`
}

// BackendState is one element of GET /backends.
type BackendState struct {
	backend.Config
	Stats backend.Stats `json:"stats"`
}

// HostsLag is the body of PUT /hosts/lag.
type HostsLag struct {
	LagMS float64 `json:"lag_ms"`
}

// controlHandler returns the handler of the control API.
func (s *Standin) controlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, "ok") })
	mux.HandleFunc("PUT /store/fault", s.setStoreFault)
	mux.HandleFunc("GET /store/calls", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.storeServer.CallCounts()) })
	mux.HandleFunc("PUT /hosts", s.setHosts)
	mux.HandleFunc("PUT /hosts/lag", s.setLag)
	mux.HandleFunc("GET /runs", s.getRuns)
	mux.HandleFunc("DELETE /runs", func(w http.ResponseWriter, _ *http.Request) { s.runs.Reset(); writeJSON(w, true) })
	mux.HandleFunc("POST /runs/counts", s.countRuns)
	mux.HandleFunc("GET /probes", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.probes.Peaks()) })
	mux.HandleFunc("GET /backends", s.getBackends)
	mux.HandleFunc("PUT /backends/{name}", s.setBackend)
	return mux
}

func (s *Standin) setStoreFault(w http.ResponseWriter, r *http.Request) {
	var fault kv.Fault
	if !readJSON(w, r, &fault) {
		return
	}
	writeResult(w, s.storeServer.SetFault(fault))
}

func (s *Standin) setHosts(w http.ResponseWriter, r *http.Request) {
	var groups []hosts.Group
	if !readJSON(w, r, &groups) {
		return
	}
	s.hostList.Set(groups)
	writeJSON(w, true)
}

func (s *Standin) setLag(w http.ResponseWriter, r *http.Request) {
	var lag HostsLag
	if !readJSON(w, r, &lag) {
		return
	}
	s.hostList.SetLag(time.Duration(lag.LagMS * float64(time.Millisecond)))
	writeJSON(w, true)
}

// getRuns returns the runs of the request whose id the query names, or else a summary of all runs.
func (s *Standin) getRuns(w http.ResponseWriter, r *http.Request) {
	if query := r.URL.Query(); query.Has("id") {
		writeJSON(w, s.runs.RunsOf(query.Get("id")))
		return
	}
	writeJSON(w, s.runs.Summarize())
}

func (s *Standin) countRuns(w http.ResponseWriter, r *http.Request) {
	var ids []string
	if !readJSON(w, r, &ids) {
		return
	}
	writeJSON(w, s.runs.Counts(ids))
}

func (s *Standin) getBackends(w http.ResponseWriter, _ *http.Request) {
	states := make([]BackendState, 0, len(s.order))
	for _, name := range s.order {
		server := s.Backend(name)
		state := BackendState{Config: server.Config(), Stats: server.Stats()}
		state.Settings = server.Settings()
		states = append(states, state)
	}
	writeJSON(w, states)
}

func (s *Standin) setBackend(w http.ResponseWriter, r *http.Request) {
	server := s.Backend(r.PathValue("name"))
	if server == nil {
		http.Error(w, "no such backend", http.StatusNotFound)
		return
	}
	change := BackendUpdate{Settings: server.Settings()}
	if !readJSON(w, r, &change) {
		return
	}
	if err := server.Apply(change.Settings); err != nil {
		writeResult(w, err)
		return
	}
	if change.Silent {
		server.Blackhole()
	}
	writeResult(w, setDown(server, change.Down))
}

func setDown(server *backend.Server, down *bool) error {
	if down == nil {
		return nil
	}
	if *down {
		server.Stop()
		return nil
	}
	return server.Start()
}

func readJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeResult(w http.ResponseWriter, err error) {
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	writeJSON(w, true)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
