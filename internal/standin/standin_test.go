package standin

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bilberryline/bilberryline/internal/clock"
	"github.com/bilberryline/bilberryline/internal/standin/backend"
	"github.com/bilberryline/bilberryline/internal/standin/kv"
)

const testTimeout = 10 * time.Second

func startStandin(t *testing.T, change func(*backend.Settings)) *Standin {
	t.Helper()
	settings := backend.DefaultSettings
	settings.WorkMS = 1
	if change != nil {
		change(&settings)
	}
	s, err := Start(Config{
		StoreAddress:   "127.0.0.1:0",
		HostsAddress:   "127.0.0.1:0",
		ControlAddress: "127.0.0.1:0",
		Limits:         kv.DefaultLimits,
		Backends:       []backend.Config{{Name: "b1", Address: "127.0.0.1:0", Settings: settings}},
	}, clock.System{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

type response struct {
	status int
	header http.Header
	body   []byte
}

func send(t *testing.T, method, url, body string, header map[string]string) (response, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for k, v := range header {
		req.Header.Set(k, v)
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return response{}, err
	}
	defer resp.Body.Close()
	content, err := io.ReadAll(resp.Body)
	return response{resp.StatusCode, resp.Header, content}, err
}

func mustSend(t *testing.T, method, url, body string, header map[string]string) response {
	t.Helper()
	r, err := send(t, method, url, body, header)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatal("timed out waiting for: " + what)
}

func TestStoreUsesConsulWireFormat(t *testing.T) {
	is := is.New(t)
	s := startStandin(t, nil)
	key := "http://" + s.StoreAddress + "/v1/kv/bilberryline/head"
	is.Equal(mustSend(t, "GET", key, "", nil).status, http.StatusNotFound)
	is.Equal(strings.TrimSpace(string(mustSend(t, "PUT", key+"?cas=0", "one", nil).body)), "true")
	is.Equal(strings.TrimSpace(string(mustSend(t, "PUT", key+"?cas=0", "two", nil).body)), "false")
	got := mustSend(t, "GET", key, "", nil)
	var entries []map[string]any
	is.NoErr(json.Unmarshal(got.body, &entries))
	is.Equal(entries[0]["Value"], "b25l") // base64 of "one"
	is.Equal(fmt.Sprint(entries[0]["ModifyIndex"]), got.header.Get("X-Consul-Index"))
}

func TestWatchReturnsOnChange(t *testing.T) {
	is := is.New(t)
	s := startStandin(t, nil)
	key := "http://" + s.StoreAddress + "/v1/kv/k"
	mustSend(t, "PUT", key, "one", nil)
	index := mustSend(t, "GET", key, "", nil).header.Get("X-Consul-Index")
	seen := make(chan response, 1)
	go func() {
		r, _ := send(t, "GET", key+"?raw&wait=9s&index="+index, "", nil)
		seen <- r
	}()
	eventually(t, "a waiting watch", func() bool { return s.storeServer.CallCounts().Waiting == 1 })
	mustSend(t, "PUT", key, "two", nil)
	is.Equal(string((<-seen).body), "two")
	is.Equal(s.storeServer.CallCounts().ByKind[kv.CallWatch], uint64(1)) // a watch counts as one call
}

func TestLostResponseStillAppliesWrite(t *testing.T) {
	is := is.New(t)
	s := startStandin(t, nil)
	key := "http://" + s.StoreAddress + "/v1/kv/k"
	mustSend(t, "PUT", "http://"+s.ControlAddress+"/store/fault", `{"mode":"lose-answers"}`, nil)
	_, err := send(t, "PUT", key, "one", nil)
	is.True(err != nil)
	is.Equal(string(mustSend(t, "GET", key+"?raw", "", nil).body), "one")
}

func TestExpiredLeaseReleasesItsKeyAfterLockDelay(t *testing.T) {
	is := is.New(t)
	c := clock.NewManual(time.Unix(1000, 0))
	n := 0
	store := kv.NewStore(c, func() string { n++; return fmt.Sprint(n) })
	first, err := store.CreateSession(kv.SessionRequest{TTL: "10s", LockDelay: "5s"})
	is.NoErr(err)
	second, err := store.CreateSession(kv.SessionRequest{TTL: "60s"})
	is.NoErr(err)
	is.True(store.Put(kv.Write{Key: "k", Acquire: first}))
	is.True(!store.Put(kv.Write{Key: "k", Acquire: second}))
	c.Advance(10 * time.Second)
	is.True(!store.Put(kv.Write{Key: "k", Acquire: second})) // blocked by the lock delay
	c.Advance(5 * time.Second)
	is.True(store.Put(kv.Write{Key: "k", Acquire: second}))
	_, live := store.RenewSession(first)
	is.True(!live)
}

func TestResponseCarriesBodyHash(t *testing.T) {
	is := is.New(t)
	s := startStandin(t, nil)
	r := mustSend(t, "POST", "http://"+s.Backend("b1").Address()+"/x", "hello", map[string]string{backend.HeaderRequestID: "r1"})
	sum := sha256.Sum256(r.body)
	is.Equal(string(r.body), "hello")
	is.Equal(r.header.Get(backend.HeaderSHA256), hex.EncodeToString(sum[:]))
	is.True(strings.HasPrefix(r.header.Get(backend.HeaderLoad), "JSON {"))
	is.Equal(len(s.runs.RunsOf("r1")), 1)
}

func TestServerShedsRequestsBeyondSlotsAndQueue(t *testing.T) {
	is := is.New(t)
	s := startStandin(t, func(st *backend.Settings) { st.Slots, st.Queue, st.WorkMS = 2, 1, 300 })
	url := "http://" + s.Backend("b1").Address() + "/"
	statuses := make(chan int, 6)
	var wg sync.WaitGroup
	for i := range 6 {
		wg.Go(func() {
			r, _ := send(t, "GET", url, "", map[string]string{backend.HeaderRequestID: fmt.Sprint(i)})
			statuses <- r.status
		})
	}
	wg.Wait()
	count := map[int]int{}
	for range 6 {
		count[<-statuses]++
	}
	st := s.Backend("b1").Stats()
	is.Equal(st.Shed, count[http.StatusServiceUnavailable])
	is.Equal(st.Started, count[http.StatusOK])
	is.Equal(count[http.StatusOK]+count[http.StatusServiceUnavailable], 6)
	is.Equal(s.runs.Summarize().MaxRuns, 1)
}

func TestExpiredRequestDoesNotRun(t *testing.T) {
	is := is.New(t)
	s := startStandin(t, nil)
	r := mustSend(t, "GET", "http://"+s.Backend("b1").Address()+"/", "", map[string]string{
		backend.HeaderRequestID: "late", backend.HeaderDeadline: "0",
	})
	is.Equal(r.status, http.StatusGatewayTimeout)
	is.Equal(r.header.Get(backend.HeaderNotRun), "1")
	is.Equal(len(s.runs.RunsOf("late")), 0)
}

func TestCancelledRunReleasesItsSlot(t *testing.T) {
	is := is.New(t)
	s := startStandin(t, func(st *backend.Settings) { st.Slots, st.WorkMS = 1, 60_000 })
	ctx, cancel := context.WithCancel(context.Background())
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.Backend("b1").Address()+"/", nil)
	is.NoErr(err)
	req.Header.Set(backend.HeaderRequestID, "c")
	go func() { _, _ = http.DefaultTransport.RoundTrip(req) }()
	eventually(t, "a run", func() bool { return s.Backend("b1").Stats().InFlight == 1 })
	cancel()
	eventually(t, "a free slot", func() bool { return s.Backend("b1").Stats().InFlight == 0 })
	is.Equal(s.runs.RunsOf("c")[0].End, backend.Cancelled)
}

func TestCrashHeaderCrashesServer(t *testing.T) {
	is := is.New(t)
	s := startStandin(t, func(st *backend.Settings) { st.CrashDownMS = 50 })
	url := "http://" + s.Backend("b1").Address() + "/"
	_, err := send(t, "POST", url, "x", map[string]string{backend.HeaderRequestID: "bad", backend.HeaderCrash: "1"})
	is.True(err != nil)
	is.Equal(s.runs.RunsOf("bad")[0].End, backend.Crashed)
	eventually(t, "the restart of the server", func() bool {
		r, err := send(t, "GET", url, "", nil)
		return err == nil && r.status == http.StatusOK
	})
}

func TestBlackholeAffectsOnlyOpenConnections(t *testing.T) {
	is := is.New(t)
	s := startStandin(t, nil)
	url := "http://" + s.Backend("b1").Address() + "/"
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	get := func(timeout time.Duration) error {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		req, _ := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		resp, err := transport.RoundTrip(req)
		if err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
		}
		return err
	}
	is.NoErr(get(testTimeout))
	mustSend(t, "PUT", "http://"+s.ControlAddress+"/backends/b1", `{"silent":true}`, nil)
	is.True(get(200*time.Millisecond) != nil) // on the old connection
	is.NoErr(get(testTimeout))                // on a new one
}

func TestHostListAppliesLag(t *testing.T) {
	is := is.New(t)
	s := startStandin(t, nil)
	mustSend(t, "PUT", "http://"+s.ControlAddress+"/hosts/lag", `{"lag_ms":300}`, nil)
	mustSend(t, "PUT", "http://"+s.ControlAddress+"/hosts", `[{"targets":["127.0.0.1:1"],"labels":{"id":"e1"}}]`, nil)
	read := func() []byte { return bytes.TrimSpace(mustSend(t, "GET", "http://"+s.HostsAddress+"/", "", nil).body) }
	is.Equal(string(read()), "[]")
	eventually(t, "the host in the list", func() bool { return bytes.Contains(read(), []byte(`"e1"`)) })
}
