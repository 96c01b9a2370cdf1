package store

import (
	"context"
	"encoding/base64"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// newTestClient starts a server that answers each call with handler, and returns a client for it.
func newTestClient(t *testing.T, timeout time.Duration, handler http.HandlerFunc) *Consul {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return NewConsul(Config{Address: server.URL, CallTimeout: timeout})
}

func TestWatchDecodesResponse(t *testing.T) {
	is := is.New(t)
	c := newTestClient(t, time.Second, func(w http.ResponseWriter, r *http.Request) {
		is.Equal(r.URL.String(), "/v1/kv/a/b?index=7&wait=5s")
		w.Header().Set("X-Consul-Index", "9")
		fmt.Fprintf(w, `[{"LockIndex":1,"Key":"a/b","Flags":0,"Value":%q,"CreateIndex":3,"ModifyIndex":8,"Session":"s"}]`,
			base64.StdEncoding.EncodeToString([]byte("value")))
	})
	entry, index, err := c.Watch(context.Background(), "a/b", 7, 5*time.Second)
	is.NoErr(err)
	is.Equal(*entry, Entry{Key: "a/b", Value: []byte("value"), Index: 8, Session: "s"})
	is.Equal(index, uint64(9))
	is.Equal(c.Calls(), uint64(1))
}

func TestWatchReturnsNilForMissingKey(t *testing.T) {
	is := is.New(t)
	c := newTestClient(t, time.Second, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Consul-Index", "4")
		w.WriteHeader(http.StatusNotFound)
	})
	entry, index, err := c.Watch(context.Background(), "k", 0, 0)
	is.NoErr(err)
	is.Equal(entry, nil)
	is.Equal(index, uint64(4))
}

func TestWritesSendExpectedRequests(t *testing.T) {
	is := is.New(t)
	var seen []string
	c := newTestClient(t, time.Second, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		seen = append(seen, r.Method+" "+r.URL.String()+" "+string(body))
		if r.URL.Path == "/v1/session/create" {
			fmt.Fprint(w, `{"ID":"abc"}`)
			return
		}
		fmt.Fprint(w, "true\n")
	})
	ctx := context.Background()
	session, err := c.CreateSession(ctx, 10*time.Second)
	is.NoErr(err)
	is.Equal(session, "abc")
	for _, write := range []func() (bool, error){
		func() (bool, error) { return PutIfAbsent(ctx, c, "k", []byte("v")) },
		func() (bool, error) { return c.CompareAndSwap(ctx, "k", []byte("v"), 5) },
		func() (bool, error) { return c.Acquire(ctx, "k", nil, session) },
		func() (bool, error) { return c.Release(ctx, "k", nil, session) },
	} {
		ok, err := write()
		is.NoErr(err)
		is.True(ok)
	}
	is.NoErr(c.RenewSession(ctx, session))
	is.NoErr(c.DestroySession(ctx, session))
	is.NoErr(c.DeleteTree(ctx, "k/"))
	is.Equal(seen, []string{
		`PUT /v1/session/create {"TTL":"10s","Behavior":"release"}`,
		"PUT /v1/kv/k?cas=0 v", "PUT /v1/kv/k?cas=5 v", "PUT /v1/kv/k?acquire=abc ", "PUT /v1/kv/k?release=abc ",
		"PUT /v1/session/renew/abc ", "PUT /v1/session/destroy/abc ", "DELETE /v1/kv/k/?recurse=true ",
	})
}

func TestWriteErrorsDistinguishNotAppliedFromUnknown(t *testing.T) {
	ctx := context.Background()
	cases := []struct {
		name    string
		handler http.HandlerFunc
		unknown bool
	}{
		{"response lost", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, true},
		{"response truncated", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "4")
			fmt.Fprint(w, "tr")
		}, true},
		{"no response", func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
		}, true},
		{"server error", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }, true},
		{"malformed", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "perhaps") }, true},
		{"rate limited", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusTooManyRequests) }, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			c := newTestClient(t, 200*time.Millisecond, tc.handler)
			_, err := c.CompareAndSwap(ctx, "k", []byte("v"), 1)
			is.Equal(IsOutcomeUnknown(err), tc.unknown)
			var notApplied *NotAppliedError
			is.Equal(errors.As(err, &notApplied), !tc.unknown)
			_, err = c.Get(ctx, "k")
			is.True(errors.As(err, &notApplied))
		})
	}
}

func TestUnsentWriteIsNotApplied(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.NotFoundHandler())
	server.Close()
	_, err := NewConsul(Config{Address: server.URL}).CompareAndSwap(context.Background(), "k", nil, 1)
	var notApplied *NotAppliedError
	is.True(errors.As(err, &notApplied))
	_, err = NewConsul(Config{}).CompareAndSwap(context.Background(), "k", make([]byte, MaxValueSize+1), 1)
	is.True(errors.Is(err, ErrTooLarge))
}

func TestTimeoutDropsConnections(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	var remotes []string
	c := newTestClient(t, 200*time.Millisecond, func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		remotes = append(remotes, r.RemoteAddr)
		first := len(remotes) == 1
		mu.Unlock()
		if first {
			<-r.Context().Done()
			return
		}
		w.WriteHeader(http.StatusNotFound)
	})
	_, err := c.Get(context.Background(), "k")
	is.True(err != nil)
	_, err = c.Get(context.Background(), "k")
	is.NoErr(err)
	mu.Lock()
	defer mu.Unlock()
	is.True(remotes[0] != remotes[1])
}

func TestTimeoutGrowsForSlowService(t *testing.T) {
	is := is.New(t)
	c := newTestClient(t, 50*time.Millisecond, func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-r.Context().Done():
		case <-time.After(120 * time.Millisecond):
			w.WriteHeader(http.StatusNotFound)
		}
	})
	for range 10 {
		if _, err := c.Get(context.Background(), "k"); err == nil {
			return
		}
	}
	is.Fail() // the timeout never grew enough for a call to succeed
}
