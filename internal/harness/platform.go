package harness

import (
	"context"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"
	"sigs.k8s.io/yaml"

	"github.com/bilberryline/bilberryline/internal/standin"
	"github.com/bilberryline/bilberryline/internal/standin/backend"
	"github.com/bilberryline/bilberryline/internal/standin/hosts"
	"github.com/bilberryline/bilberryline/internal/standin/kv"
)

// Platform is a running bilberry-standin process and a client of its control API.
type Platform struct {
	*Process
	// StoreURL, HostsURL and ControlURL are base URLs without a trailing slash.
	StoreURL   string
	HostsURL   string
	ControlURL string
}

// readyTimeout is how long a process may take to become ready.
const readyTimeout = 30 * time.Second

// startPlatform starts bilberry-standin with the given backend servers.
func startPlatform(ctx context.Context, bin Binaries, dir string, ports *PortAllocator, backends []backend.Config) (*Platform, error) {
	text, err := yaml.Marshal(backends)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	file := dir + "/backends.yaml"
	if err := os.WriteFile(file, text, 0o600); err != nil {
		return nil, errors.WithStack(err)
	}
	store, list, control := ports.Allocate(), ports.Allocate(), ports.Allocate()
	process, err := StartProcess(dir, "standin", bin.Path("bilberry-standin"),
		"--listen-store", store, "--listen-hosts", list, "--listen-control", control, "--backends-file", file)
	if err != nil {
		return nil, err
	}
	p := &Platform{Process: process, StoreURL: "http://" + store, HostsURL: "http://" + list, ControlURL: "http://" + control}
	if err := process.WaitReady(ctx, p.ControlURL+"/healthz", readyTimeout); err != nil {
		process.Kill()
		return nil, err
	}
	return p, nil
}

// SetStoreFault sets the fault of the key-value service.
func (p *Platform) SetStoreFault(ctx context.Context, f kv.Fault) error {
	return call(ctx, http.MethodPut, p.ControlURL+"/store/fault", f, nil)
}

// StoreCalls returns the call counts of the key-value service.
func (p *Platform) StoreCalls(ctx context.Context) (kv.CallCounts, error) {
	var counts kv.CallCounts
	err := call(ctx, http.MethodGet, p.ControlURL+"/store/calls", nil, &counts)
	return counts, err
}

// SetHosts replaces the host list.
func (p *Platform) SetHosts(ctx context.Context, groups []hosts.Group) error {
	return call(ctx, http.MethodPut, p.ControlURL+"/hosts", groups, nil)
}

// SetHostsLag sets the lag of the host list.
func (p *Platform) SetHostsLag(ctx context.Context, lag time.Duration) error {
	body := standin.HostsLag{LagMS: float64(lag) / float64(time.Millisecond)}
	return call(ctx, http.MethodPut, p.ControlURL+"/hosts/lag", body, nil)
}

// Runs returns the runs of one request.
func (p *Platform) Runs(ctx context.Context, id string) ([]backend.Run, error) {
	var runs []backend.Run
	err := call(ctx, http.MethodGet, p.ControlURL+"/runs?id="+id, nil, &runs)
	return runs, err
}

// RunSummary returns a summary of the runs of all requests.
func (p *Platform) RunSummary(ctx context.Context) (backend.Summary, error) {
	var sum backend.Summary
	err := call(ctx, http.MethodGet, p.ControlURL+"/runs", nil, &sum)
	return sum, err
}

// RunCounts returns the number of runs by request id.
func (p *Platform) RunCounts(ctx context.Context, ids []string) (map[string]int, error) {
	counts := map[string]int{}
	err := call(ctx, http.MethodPost, p.ControlURL+"/runs/counts", ids, &counts)
	return counts, err
}

// ResetRuns deletes all recorded runs.
func (p *Platform) ResetRuns(ctx context.Context) error {
	return call(ctx, http.MethodDelete, p.ControlURL+"/runs", nil, nil)
}

// ProbePeaks returns the peak slot time by service, in milliseconds: the largest total of the probes of all
// its servers that started within any one second.
func (p *Platform) ProbePeaks(ctx context.Context) (map[string]float64, error) {
	peaks := map[string]float64{}
	err := call(ctx, http.MethodGet, p.ControlURL+"/probes", nil, &peaks)
	return peaks, err
}

// Backends returns the state of all backend servers.
func (p *Platform) Backends(ctx context.Context) ([]standin.BackendState, error) {
	var states []standin.BackendState
	err := call(ctx, http.MethodGet, p.ControlURL+"/backends", nil, &states)
	return states, err
}

// Patch holds new settings of a backend server by the JSON field names of standin.BackendUpdate.
type Patch map[string]any

// SetBackend changes settings of a backend server. Settings that are not in the patch keep their values.
func (p *Platform) SetBackend(ctx context.Context, name string, patch Patch) error {
	return call(ctx, http.MethodPut, p.ControlURL+"/backends/"+name, patch, nil)
}

// SetBackends changes settings of all backend servers of a service, or of all services if service is empty.
func (p *Platform) SetBackends(ctx context.Context, service string, patch Patch) error {
	states, err := p.Backends(ctx)
	if err != nil {
		return err
	}
	for _, s := range states {
		if service != "" && s.Service != service {
			continue
		}
		if err := p.SetBackend(ctx, s.Name, patch); err != nil {
			return err
		}
	}
	return nil
}
