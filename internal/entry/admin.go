package entry

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/pprof"

	"github.com/lesismal/nbio/nbhttp"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/bilberryline/bilberryline/internal/clock"
	"github.com/bilberryline/bilberryline/internal/event"
	"github.com/bilberryline/bilberryline/internal/front"
)

// adminServer serves the administration endpoints.
type adminServer struct {
	host   *Host
	engine *nbhttp.Engine
}

func newAdminServer(h *Host) *adminServer {
	a := &adminServer{host: h}
	mux := http.NewServeMux()
	mux.HandleFunc("/healthz", a.health)
	mux.HandleFunc("/readyz", a.readiness)
	mux.HandleFunc("/status", a.status)
	mux.Handle("/events", event.NewHandler(h.events, clock.System{}))
	mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
	mux.Handle("/debug/pprof/heap", pprof.Handler("heap"))
	mux.Handle("/debug/pprof/goroutine", pprof.Handler("goroutine"))
	mux.Handle("/metrics", promhttp.HandlerFor(h.metrics.registry, promhttp.HandlerOpts{}))
	a.engine = nbhttp.NewEngine(nbhttp.Config{
		Name:                    "admin",
		Network:                 "tcp",
		Addrs:                   []string{h.settings.ListenAdmin},
		Handler:                 mux,
		NPoller:                 1,
		MessageHandlerPoolSize:  adminWorkers,
		SupportServerOnly:       true,
		MaxHTTPBodySize:         adminBodyBytes,
		ReleaseWebsocketPayload: true,
	})
	return a
}

const (
	adminWorkers   = 64
	adminBodyBytes = 64 << 10
)

// start opens the listener. It first tries to listen on the address itself, to return a *front.ListenError if
// the address can't be used.
func (a *adminServer) start() error {
	ln, err := net.Listen("tcp", a.host.settings.ListenAdmin)
	if err != nil {
		return &front.ListenError{Address: a.host.settings.ListenAdmin, Err: err}
	}
	ln.Close()
	return a.engine.Start()
}

func (a *adminServer) stop(ctx context.Context) { _ = a.engine.Shutdown(ctx) }

// health is the liveness check. It always succeeds.
func (a *adminServer) health(w http.ResponseWriter, _ *http.Request) {
	_, _ = w.Write([]byte("ok\n"))
}

// readiness is the readiness check of the platform's load balancer. It fails with 503 while the host must
// not get new requests.
func (a *adminServer) readiness(w http.ResponseWriter, _ *http.Request) {
	if !a.host.ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

func (a *adminServer) status(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(a.host.status())
}
