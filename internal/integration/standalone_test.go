package integration

import (
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bilberryline/bilberryline/internal/harness"
)

// TestStandaloneHostServesFromOneFile starts an entry host whose only configuration is a base file with two servers,
// as in the README.
func TestStandaloneHostServesFromOneFile(t *testing.T) {
	is := is.New(t)
	if testing.Short() {
		t.Skip("starts processes")
	}
	bin, err := harness.Build()
	is.NoErr(err)
	c, err := harness.Prepare(t.Context(), harness.Options{Bin: bin, Example: "potcoava"})
	is.NoErr(err)
	t.Cleanup(c.Close)
	base := "apiVersion: bilberryline/v1\nregions:\n  home: {sites: {here: {}}}\nservices:\n  shop:\n    routes:\n" +
		"      all: {pathPrefix: /, deadline: 5s}\n    targets:\n" +
		"      shop-1: {address: \"" + c.Backends[0].Address + "\", site: here, slots: 4}\n" +
		"      shop-2: {address: \"" + c.Backends[1].Address + "\", site: here, slots: 4}\n"
	file := filepath.Join(t.TempDir(), "base.yaml")
	is.NoErr(os.WriteFile(file, []byte(base), 0o600))
	ports := c.FreeAddresses(3)
	e := &harness.Entry{ID: "lone", CallerAddress: ports[0], PeerAddress: ports[1], AdminAddress: ports[2]}
	cmd := exec.Command(bin.Path("bilberry-entry"), "--id", e.ID, "--region", "home", "--site", "here", "--config", file,
		"--listen", e.CallerAddress, "--listen-peer", e.PeerAddress, "--listen-admin", e.AdminAddress, "--drain-delay", "100ms")
	is.NoErr(cmd.Start())
	t.Cleanup(func() {
		_ = cmd.Process.Signal(syscall.SIGTERM)
		_ = cmd.Wait()
	})
	eventually(t, "readiness of the host", func() bool { return e.IsReady(t.Context()) })
	id := newRequestID()
	r := bookingRequest(id, id, time.Millisecond)
	first := send(e, r)
	checkResponse(t, r, first)
	again := send(e, r)
	is.NoErr(again.err)
	is.Equal(again.status, http.StatusOK)
	is.Equal(again.header.Get("Bilberryline-Replayed"), "1")
	is.Equal(runCount(t, c, id), 1)
}
