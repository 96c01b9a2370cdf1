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

// bench runs bilberryctl against a stand-in store and a copy of an example.
type bench struct {
	t       *testing.T
	store   string
	service *kv.Server
	folder  string
}

func newBench(t *testing.T) *bench {
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
	return &bench{t: t, store: server.URL, service: service, folder: folder}
}

// run returns the exit code, standard output and standard error.
func (b *bench) run(args ...string) (code int, out, errOut string) {
	b.t.Helper()
	var stdout, stderr bytes.Buffer
	all := append([]string{"bilberryctl", "--store", b.store, "--timeout", "20s"}, args...)
	code = Run(all, &stdout, &stderr)
	return code, stdout.String(), stderr.String()
}

func (b *bench) edit(old, with string) {
	b.t.Helper()
	path := filepath.Join(b.folder, baseFile)
	data, err := os.ReadFile(path)
	if err != nil {
		b.t.Fatal(err)
	}
	if !strings.Contains(string(data), old) {
		b.t.Fatalf("no %q in base.yaml", old)
	}
	if err := os.WriteFile(path, []byte(strings.Replace(string(data), old, with, 1)), 0o600); err != nil {
		b.t.Fatal(err)
	}
}

func TestApplyHistoryRollback(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	code, out, _ := b.run("apply", b.folder)
	is.Equal(code, ExitOK)
	is.True(strings.Contains(out, "Accepted as revision 1"))
	b.edit("queueLimit: 1000", "queueLimit: 900")
	code, out, _ = b.run("plan", b.folder)
	is.Equal(code, ExitOK)
	is.True(strings.Contains(out, "Plan on revision 1"))
	is.True(strings.Contains(out, "service bookings: budgets or limits change"))
	code, _, _ = b.run("apply", "--author", "ana", "--parent", "1", b.folder)
	is.Equal(code, ExitOK)
	b.edit("queueLimit: 900", "queueLimit: 800")
	code, _, errOut := b.run("apply", "--parent", "1", b.folder)
	is.Equal(code, ExitConflict)
	is.True(strings.Contains(errOut, "revision 2 by ana"))
	code, out, _ = b.run("rollback", "1")
	is.Equal(code, ExitOK)
	is.True(strings.Contains(out, "Accepted as revision 3"))
	code, out, _ = b.run("-o", "json", "history")
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

func TestHarmNeedsLeave(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	code, _, _ := b.run("apply", b.folder)
	is.Equal(code, ExitOK)
	b.edit("        dispatch: true\n", "")
	code, _, errOut := b.run("apply", b.folder)
	is.Equal(code, ExitHarm)
	is.True(strings.Contains(errOut, "caller firm-cerbul-desk loses access to service bookings"))
	code, _, _ = b.run("apply", "--allow-cut-off", b.folder)
	is.Equal(code, ExitOK)
}

func TestUnreadableAcceptedRevisionNeedsLeave(t *testing.T) {
	is := is.New(t)
	p := blindPlan([]string{"cluj"})
	is.Equal(len(p.HarmfulChanges(plan.HarmCutOff)), 1)
	is.Equal(len(p.HarmfulChanges(plan.HarmEmpty)), 1)
}

func TestLostAnswersAreSettled(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	half := 0.5
	is.NoErr(b.service.SetFault(kv.Fault{Mode: kv.LoseResponses, Share: &half}))
	code, _, _ := b.run("apply", b.folder)
	is.Equal(code, ExitOK)
	is.NoErr(b.service.SetFault(kv.Fault{Mode: kv.NoFault}))
	_, out, _ := b.run("-o", "json", "history")
	is.Equal(strings.Count(out, `"revision"`), 1)
}

func TestInvalidFolder(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	b.edit("queueLimit: 1000", "queueLimits: 1000")
	code, _, errOut := b.run("validate", b.folder)
	is.Equal(code, ExitInvalid)
	is.True(strings.Contains(errOut, "base.yaml:"))
	is.True(strings.Contains(errOut, "unknown-field: services.bookings.queueLimits"))
}

func TestMoveCallerChangesOneLine(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	before, err := os.ReadFile(filepath.Join(b.folder, baseFile))
	is.NoErr(err)
	code, out, _ := b.run("move-caller", b.folder, "firm-cerbul-desk", "apps")
	is.Equal(code, ExitOK)
	is.True(strings.Contains(out, `from department "dispatch" to "apps"`))
	after, err := os.ReadFile(filepath.Join(b.folder, baseFile))
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
	code, _, _ = b.run("move-caller", b.folder, "nobody", "apps")
	is.Equal(code, ExitInvalid)
}

// fakeHosts serves /status of two hosts at the given revisions. The first names both as members.
func fakeHosts(t *testing.T, revisions ...*atomic.Uint64) string {
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
	b := newBench(t)
	code, _, _ := b.run("apply", b.folder)
	is.Equal(code, ExitOK)
	var first, second atomic.Uint64
	first.Store(1)
	address := fakeHosts(t, &first, &second)
	code, out, errOut := b.run("--host", address, "status")
	is.Equal(code, ExitLag)
	is.True(strings.Contains(out, "lags"))
	is.True(strings.Contains(errOut, "not at revision 1: host-1"))
	second.Store(1)
	code, _, _ = b.run("--host", address, "status")
	is.Equal(code, ExitOK)
	code, _, errOut = b.run("--host", address, "apply", "--wait", b.folder)
	is.Equal(code, ExitOK)
	is.True(strings.Contains(errOut, "2 of 2 hosts at revision 1"))
	code, _, _ = b.run("status")
	is.Equal(code, ExitUsage)
}

func TestStoreDown(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	is.NoErr(b.service.SetFault(kv.Fault{Mode: kv.Outage}))
	code, _, _ := b.run("--timeout", "1s", "apply", b.folder)
	is.Equal(code, ExitStore)
}
