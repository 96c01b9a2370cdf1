package ctl

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/bilberryline/bilberryline/internal/clock"
	"github.com/bilberryline/bilberryline/internal/plan"
	"github.com/bilberryline/bilberryline/internal/standin/kv"
)

// testEnv runs bilberryctl with a stand-in store and a copy of an example configuration.
type testEnv struct {
	t       *testing.T
	store   string
	service *kv.Server
	folder  string
}

func newTestEnv(t *testing.T) *testEnv {
	t.Helper()
	ids := atomic.Int64{}
	state := kv.NewStore(clock.System{}, func() string { return fmt.Sprint(ids.Add(1)) })
	service := kv.NewServer(state, clock.System{}, rand.New(rand.NewPCG(1, 1)), kv.Limits{})
	server := httptest.NewServer(service)
	t.Cleanup(server.Close)
	folder := t.TempDir()
	if err := os.CopyFS(folder, os.DirFS("../../examples/potcoava")); err != nil {
		t.Fatal(err)
	}
	return &testEnv{t: t, store: server.URL, service: service, folder: folder}
}

// run runs bilberryctl and returns its exit code, standard output and standard error.
func (env *testEnv) run(args ...string) (code int, out, errOut string) {
	env.t.Helper()
	var stdout, stderr bytes.Buffer
	all := append([]string{"bilberryctl", "--store", env.store, "--timeout", "20s"}, args...)
	code = Run(all, &stdout, &stderr)
	return code, stdout.String(), stderr.String()
}

// edit replaces the first occurrence of old in base.yaml.
func (env *testEnv) edit(old, with string) {
	env.t.Helper()
	path := filepath.Join(env.folder, baseFile)
	data, err := os.ReadFile(path)
	if err != nil {
		env.t.Fatal(err)
	}
	if !strings.Contains(string(data), old) {
		env.t.Fatalf("no %q in base.yaml", old)
	}
	if err := os.WriteFile(path, []byte(strings.Replace(string(data), old, with, 1)), 0o600); err != nil {
		env.t.Fatal(err)
	}
}

func TestApplyHistoryRollback(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t)
	code, out, _ := env.run("apply", env.folder)
	is.Equal(code, ExitOK)
	is.True(strings.Contains(out, "Accepted as revision 1"))
	env.edit("queueLimit: 1000", "queueLimit: 900")
	code, out, _ = env.run("plan", env.folder)
	is.Equal(code, ExitOK)
	is.True(strings.Contains(out, "Plan on revision 1"))
	is.True(strings.Contains(out, "service bookings: budgets or limits change"))
	code, _, _ = env.run("apply", "--author", "ana", "--parent", "1", env.folder)
	is.Equal(code, ExitOK)
	env.edit("queueLimit: 900", "queueLimit: 800")
	code, _, errOut := env.run("apply", "--parent", "1", env.folder)
	is.Equal(code, ExitConflict)
	is.True(strings.Contains(errOut, "revision 2 by ana"))
	code, out, _ = env.run("rollback", "1")
	is.Equal(code, ExitOK)
	is.True(strings.Contains(out, "Accepted as revision 3"))
	code, out, _ = env.run("-o", "json", "history")
	is.Equal(code, ExitOK)
	var records []struct {
		Revision uint64
		Hash     string
	}
	is.NoErr(json.Unmarshal([]byte(out), &records))
	is.Equal(len(records), 3)
	is.Equal(records[0].Revision, uint64(3))
	is.Equal(records[0].Hash, records[2].Hash)
}

func TestHarmfulChangeNeedsFlag(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t)
	code, _, _ := env.run("apply", env.folder)
	is.Equal(code, ExitOK)
	env.edit("        dispatch: true\n", "")
	code, _, errOut := env.run("apply", env.folder)
	is.Equal(code, ExitHarm)
	is.True(strings.Contains(errOut, "caller firm-cerbul-desk loses access to service bookings"))
	code, _, _ = env.run("apply", "--allow-cut-off", env.folder)
	is.Equal(code, ExitOK)
}

func TestUnreadableAcceptedRevisionCountsAsHarm(t *testing.T) {
	is := is.New(t)
	p := worstCasePlan([]string{"cluj"})
	is.Equal(len(p.HarmfulChanges(plan.HarmCutOff)), 1)
	is.Equal(len(p.HarmfulChanges(plan.HarmEmpty)), 1)
}

func TestApplySucceedsWhenStoreResponsesAreLost(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t)
	half := 0.5
	is.NoErr(env.service.SetFault(kv.Fault{Mode: kv.LoseResponses, Share: &half}))
	code, _, _ := env.run("apply", env.folder)
	is.Equal(code, ExitOK)
	is.NoErr(env.service.SetFault(kv.Fault{Mode: kv.NoFault}))
	_, out, _ := env.run("-o", "json", "history")
	is.Equal(strings.Count(out, `"revision"`), 1)
}

func TestValidateReportsUnknownField(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t)
	env.edit("queueLimit: 1000", "queueLimits: 1000")
	code, _, errOut := env.run("validate", env.folder)
	is.Equal(code, ExitInvalid)
	is.True(strings.Contains(errOut, "base.yaml:"))
	is.True(strings.Contains(errOut, "unknown-field: services.bookings.queueLimits"))
}

func TestMoveCallerChangesOneLine(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t)
	before, err := os.ReadFile(filepath.Join(env.folder, baseFile))
	is.NoErr(err)
	code, out, _ := env.run("move-caller", env.folder, "firm-cerbul-desk", "apps")
	is.Equal(code, ExitOK)
	is.True(strings.Contains(out, `from department "dispatch" to "apps"`))
	after, err := os.ReadFile(filepath.Join(env.folder, baseFile))
	is.NoErr(err)
	was, now := strings.Split(string(before), "\n"), strings.Split(string(after), "\n")
	is.Equal(len(was), len(now))
	changed := 0
	for i := range was {
		if was[i] != now[i] {
			changed++
			is.Equal(now[i], "    department: apps")
		}
	}
	is.Equal(changed, 1)
	code, _, _ = env.run("move-caller", env.folder, "nobody", "apps")
	is.Equal(code, ExitInvalid)
}

// serveHosts serves /status of one host per revision and returns the address of the first. Each host lists all hosts
// as members.
func serveHosts(t *testing.T, revisions ...*atomic.Uint64) string {
	t.Helper()
	var members []memberStatus
	for i, revision := range revisions {
		id := fmt.Sprintf("host-%d", i)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_ = json.NewEncoder(w).Encode(hostStatus{
				Host: id, Revision: revision.Load(), InForceSince: "2026-01-02T03:04:05Z", Members: members,
			})
		}))
		t.Cleanup(server.Close)
		members = append(members, memberStatus{ID: id, Site: "cluj", AdminAddress: strings.TrimPrefix(server.URL, "http://")})
	}
	return members[0].AdminAddress
}

func TestStatusFailsWhenAHostLags(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t)
	code, _, _ := env.run("apply", env.folder)
	is.Equal(code, ExitOK)
	var first, second atomic.Uint64
	first.Store(1)
	address := serveHosts(t, &first, &second)
	code, out, errOut := env.run("--host", address, "status")
	is.Equal(code, ExitLag)
	is.True(strings.Contains(out, "lags"))
	is.True(strings.Contains(errOut, "not at revision 1: host-1"))
	second.Store(1)
	code, _, _ = env.run("--host", address, "status")
	is.Equal(code, ExitOK)
	code, _, errOut = env.run("--host", address, "apply", "--wait", env.folder)
	is.Equal(code, ExitOK)
	is.True(strings.Contains(errOut, "2 of 2 hosts at revision 1"))
	code, _, _ = env.run("status")
	is.Equal(code, ExitUsage)
}

func TestApplyFailsWhenStoreIsDown(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t)
	is.NoErr(env.service.SetFault(kv.Fault{Mode: kv.Outage}))
	code, _, _ := env.run("--timeout", "1s", "apply", env.folder)
	is.Equal(code, ExitStore)
}
