package entry

import (
	"os"
	"path/filepath"
	"regexp"
	"testing"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/bilberryline/bilberryline/internal/opspage"
)

var metricNamePattern = regexp.MustCompile(`fqName: "([a-z_]+)"`)

const operationsDir = "../../docs/operations"

// exportedMetrics returns the names of the metrics that an entry host exports.
func exportedMetrics(t *testing.T) map[string]bool {
	t.Helper()
	h, err := NewHost(testSettings(t))
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = h.peerNode.Close(t.Context()) })
	ch := make(chan *prometheus.Desc, 1024)
	h.metrics.registry.Describe(ch)
	close(ch)
	names := make(map[string]bool)
	for d := range ch {
		if m := metricNamePattern.FindStringSubmatch(d.String()); m != nil {
			names[m[1]] = true
		}
	}
	return names
}

func testSettings(t *testing.T) *Settings {
	t.Helper()
	base := filepath.Join(t.TempDir(), "base.yaml")
	text := "apiVersion: bilberryline/v1\nregions: {r: {sites: {s: {}}}}\nservices: {}\n"
	is.New(t).NoErr(os.WriteFile(base, []byte(text), 0o600))
	return &Settings{
		ID: "e1", Region: "r", Site: "s", Listen: "127.0.0.1:0", ListenPeer: "127.0.0.1:0", ListenAdmin: "127.0.0.1:0",
		ConfigFile: base, Policy: PolicyOwner, LogFormat: "json", MaxEntryHosts: 1, KeyHolders: 2, EventRing: 16,
	}
}

func TestOperationsFilesUseExportedMetrics(t *testing.T) {
	is := is.New(t)
	exported := exportedMetrics(t)
	files, err := filepath.Glob(operationsDir + "/*")
	is.NoErr(err)
	texts := make(map[string]string)
	for _, file := range files {
		text, err := os.ReadFile(file)
		is.NoErr(err)
		texts[file] = string(text)
	}
	texts[opspage.Path], err = opspage.Section("bilberry-entry")
	is.NoErr(err)
	used := 0
	for file, text := range texts {
		for _, name := range opspage.Metrics(text) {
			used++
			if !exported[name] {
				t.Errorf("%s uses %s, which is not exported", file, name)
			}
		}
	}
	is.True(used > 20)
}

func TestOperationsPageListsEveryFlag(t *testing.T) {
	is := is.New(t)
	text, err := opspage.Section("bilberry-entry")
	is.NoErr(err)
	for _, mismatch := range opspage.CompareFlags(text, Command().Flags) {
		t.Error(mismatch)
	}
}
