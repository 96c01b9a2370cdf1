package backend

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"
)

// maxBodySize is the maximum size of request and response bodies in bytes.
const maxBodySize = 64 << 20

// handler returns the HTTP handler of one instance of the server.
func (s *Server) handler(inst *instance) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/healthz", s.health)
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) { s.serve(inst, w, r) })
	return mux
}

func (s *Server) health(w http.ResponseWriter, r *http.Request) {
	settings := s.Settings()
	cost := milliseconds(settings.ProbeMS)
	now := s.clock.Now()
	s.stats.addProbe(now, cost)
	s.probes.add(s.cfg.Service, now, cost)
	if cost > 0 {
		if err := s.slots.acquire(r.Context(), time.Time{}); err != nil {
			s.refuse(w, settings, err)
			return
		}
		s.work(r.Context(), cost)
		s.slots.release()
	}
	report := s.setLoad(w, settings)
	w.Header().Set("Content-Type", "application/json")
	if settings.Drain {
		w.Header().Set(HeaderDraining, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_, _ = w.Write(report)
}

// work waits for the service time. It reports whether all of it passed before ctx ended.
func (s *Server) work(ctx context.Context, d time.Duration) bool {
	select {
	case <-s.clock.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *Server) serve(inst *instance, w http.ResponseWriter, r *http.Request) {
	received := s.clock.Now()
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodySize))
	if err != nil {
		return
	}
	settings := s.Settings()
	if settings.Drain {
		w.Header().Set(HeaderDraining, "1")
		if settings.RefuseDraining {
			s.refuse(w, settings, ErrShed)
			return
		}
	}
	if s.chance(settings.Fail) {
		s.fail(w, r)
		return
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer context.AfterFunc(inst.ctx, cancel)()
	if err := s.slots.acquire(ctx, requestDeadline(r, received)); err != nil {
		s.refuse(w, settings, err)
		return
	}
	s.run(ctx, w, r, body, settings)
}

// requestDeadline returns the request's deadline, or the zero time if it has none.
func requestDeadline(r *http.Request, received time.Time) time.Time {
	ms, err := strconv.ParseFloat(r.Header.Get(HeaderDeadline), 64)
	if err != nil {
		return time.Time{}
	}
	return received.Add(milliseconds(ms))
}

func (s *Server) refuse(w http.ResponseWriter, settings Settings, reason error) {
	status := settings.ShedStatus
	switch {
	case errors.Is(reason, ErrExpired):
		status = http.StatusGatewayTimeout
		s.stats.update(func(st *Stats) { st.Expired++ })
	case errors.Is(reason, ErrCancelled):
		s.stats.update(func(st *Stats) { st.Abandoned++ })
	default:
		w.Header().Set("Retry-After", "1")
		s.stats.update(func(st *Stats) { st.Shed++ })
	}
	s.setLoad(w, settings)
	w.Header().Set(HeaderNotRun, "1")
	w.Header().Set(HeaderServer, s.cfg.Name)
	http.Error(w, reason.Error(), status)
}

// fail responds with 500 at once, without taking a slot. The request counts as run.
func (s *Server) fail(w http.ResponseWriter, r *http.Request) {
	run := s.runs.start(r.Header.Get(HeaderRequestID), Run{Server: s.cfg.Name, Method: r.Method, Started: s.clock.Now()})
	s.runs.end(run, Failed)
	s.stats.update(func(st *Stats) {
		st.Started++
		st.Failed++
		st.LastStart = run.Started
	})
	w.Header().Set(HeaderServer, s.cfg.Name)
	http.Error(w, "internal error", http.StatusInternalServerError)
}

// run executes the request in a slot that the caller has acquired, and responds to it.
func (s *Server) run(ctx context.Context, w http.ResponseWriter, r *http.Request, body []byte, settings Settings) {
	run := s.runs.start(r.Header.Get(HeaderRequestID), Run{Server: s.cfg.Name, Method: r.Method, Started: s.clock.Now()})
	s.stats.update(func(st *Stats) {
		st.Started++
		st.LastStart = run.Started
	})
	completed := s.work(ctx, s.serviceTime(r, settings))
	s.slots.release()
	switch {
	case !completed:
		s.runs.end(run, Cancelled)
		s.stats.update(func(st *Stats) { st.Cancelled++ })
		panic(http.ErrAbortHandler)
	case r.Header.Get(HeaderCrash) != "":
		s.runs.end(run, Crashed)
		s.stats.update(func(st *Stats) { st.Crashed++ })
		go s.crash()
		<-ctx.Done()
		panic(http.ErrAbortHandler)
	}
	s.runs.end(run, Finished)
	s.stats.update(func(st *Stats) { st.Finished++ })
	s.meter.add(s.clock.Now(), 1)
	s.setLoad(w, settings)
	writeResponse(w, r, body, s.cfg.Name)
}

// serviceTime returns how long the request occupies a slot.
func (s *Server) serviceTime(r *http.Request, settings Settings) time.Duration {
	base, err := time.ParseDuration(r.Header.Get(HeaderWork))
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		base = milliseconds(settings.WorkMS)
		if settings.Exponential {
			base = time.Duration(float64(base) * s.rng.ExpFloat64())
		}
	}
	factor := settings.Slow
	if s.rng.Float64() < settings.StragglerShare {
		factor *= settings.StragglerFactor
	}
	if s.coldLeft > 0 {
		s.coldLeft--
		factor *= settings.ColdFactor
	}
	return time.Duration(float64(base) * factor)
}

// chance returns true with the given probability.
func (s *Server) chance(probability float64) bool {
	if probability <= 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.Float64() < probability
}

// setLoad sets the load report header of a response and returns the report as JSON.
func (s *Server) setLoad(w http.ResponseWriter, settings Settings) []byte {
	now := s.clock.Now()
	busy, waiting, limit := s.slots.usage()
	current := sample{at: now, inFlight: busy + waiting, slots: limit, rps: s.meter.add(now, 0)}
	reported := s.history.add(current, milliseconds(settings.ReportLagMS))
	if settings.ReportInFlight >= 0 {
		reported.inFlight = settings.ReportInFlight
	}
	report, _ := json.Marshal(reported.report())
	w.Header().Set(HeaderLoad, "JSON "+string(report))
	return report
}
