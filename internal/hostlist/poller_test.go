package hostlist

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

const sample = `[
 {"targets":["10.0.0.2:7000"],"labels":{"id":"e2","role":"entry","state":"leaving","site":"s1","region":"r1","admin_address":"10.0.0.2:7001"}},
 {"targets":["10.0.0.1:7000"],"labels":{"id":"e1","role":"entry","state":"live","site":"s1","region":"r1"}},
 {"targets":["10.0.1.1:80"],"labels":{"id":"b1","role":"backend","state":"live","name":"slots-1"}}]`

func TestPollerKeepsLastGoodList(t *testing.T) {
	is := is.New(t)
	var status atomic.Int64
	status.Store(http.StatusOK)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(int(status.Load()))
		_, _ = w.Write([]byte(sample))
	}))
	defer server.Close()
	p := New(Config{URL: server.URL})
	calls := 0
	p.Subscribe(func(*List) { calls++ })
	is.Equal(p.Last(), nil)
	is.NoErr(p.Poll(context.Background()))
	is.Equal(len(p.Last().Hosts), 3)
	is.Equal(p.Last().Hosts[2], Host{
		Address: "10.0.0.2:7000", ID: "e2", Role: RoleEntry, State: StateLeaving,
		Site: "s1", Region: "r1", AdminAddress: "10.0.0.2:7001",
	})
	status.Store(http.StatusInternalServerError)
	err := p.Poll(context.Background())
	var fetchErr *FetchError
	var statusErr *StatusError
	is.True(errors.As(err, &fetchErr))
	is.True(errors.As(err, &statusErr))
	is.Equal(statusErr.Status, 500)
	is.Equal(len(p.Last().Hosts), 3)
	is.Equal(calls, 1)
}
