package integration

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bilberryline/bilberryline/internal/harness"
	"github.com/bilberryline/bilberryline/internal/standin/kv"
)

// startFromStore prepares a cluster whose entry hosts read their configuration from the store. The store is still
// empty and no entry host is started.
func startFromStore(t *testing.T, entries int) *harness.Cluster {
	t.Helper()
	is := is.New(t)
	if testing.Short() {
		t.Skip("starts many processes")
	}
	bin, err := harness.Build()
	is.NoErr(err)
	c, err := harness.Prepare(t.Context(), harness.Options{
		Bin: bin, Example: "potcoava", Entries: entries, FromStore: true,
		EntryArgs: []string{"--drain-delay", "200ms"},
	})
	is.NoErr(err)
	t.Cleanup(c.Close)
	return c
}

func revisionInForce(t *testing.T, e *harness.Entry) uint64 {
	t.Helper()
	var status struct {
		Revision uint64 `json:"revision"`
	}
	if e.Status(t.Context(), &status) != nil {
		return 0
	}
	return status.Revision
}

func TestHostWithoutConfigurationRunsButIsNotReady(t *testing.T) {
	is := is.New(t)
	c := startFromStore(t, 1)
	started := make(chan error, 1)
	go func() { started <- c.StartEntries(t.Context()) }()
	time.Sleep(time.Second)
	is.True(!c.Entries[0].IsReady(t.Context()))
	got := send(c.Entries[0], lookupRequest(newRequestID(), 0))
	is.NoErr(got.err)
	is.Equal(got.status, http.StatusServiceUnavailable)
	is.Equal(got.outcome, "not-run")
	is.NoErr(c.Apply(t.Context(), "first"))
	is.NoErr(<-started)
}

func TestRevisionStaysInForceThroughStoreOutage(t *testing.T) {
	is := is.New(t)
	c := startFromStore(t, 4)
	is.NoErr(c.Apply(t.Context(), "first"))
	is.NoErr(c.StartEntries(t.Context()))
	for _, e := range c.Entries {
		eventually(t, "revision 1 on "+e.ID, func() bool { return revisionInForce(t, e) == 1 })
	}
	is.NoErr(c.Platform.SetStoreFault(t.Context(), kv.Fault{Mode: kv.Outage}))
	is.NoErr(c.Entries[0].Stop(testTimeout))
	is.NoErr(c.StartEntry(t.Context(), c.Entries[0]))
	is.Equal(revisionInForce(t, c.Entries[0]), uint64(1)) // received from the other hosts
	r := lookupRequest(newRequestID(), time.Millisecond)
	checkResponse(t, r, send(c.Entries[0], r))
}
