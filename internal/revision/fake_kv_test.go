package revision

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/bilberryline/bilberryline/internal/store"
)

// fault is the kind of fault of one write.
type fault int

const (
	noFault fault = iota
	notApplied
	responseLost
	delayed // the response is lost and the write takes effect later
)

// fakeKV is an in-memory key-value service with faults.
type fakeKV struct {
	mu      sync.Mutex
	changed chan struct{}
	entries map[string]store.Entry
	index   uint64
	calls   int
	down    bool
	onDown  func()
	// staleHead, if set, is the entry that watches return.
	staleHead *store.Entry
	// nextFault returns the fault of the next write.
	nextFault     func() fault
	delayedWrites []func()
	// watchReturnsAtOnce makes watches return without waiting for a change.
	watchReturnsAtOnce bool
}

func newFakeKV() *fakeKV {
	return &fakeKV{entries: map[string]store.Entry{}, changed: make(chan struct{}), nextFault: func() fault { return noFault }}
}

// failure returns the error of a call while the store is down, or nil.
func (k *fakeKV) failure(op, key string) error {
	if !k.down {
		return nil
	}
	if k.onDown != nil {
		k.onDown()
	}
	return &store.NotAppliedError{Op: op, Key: key, Err: store.ErrMalformed}
}

func (k *fakeKV) Get(_ context.Context, key string) (*store.Entry, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.calls++
	if err := k.failure("get", key); err != nil {
		return nil, err
	}
	return k.lookup(key), nil
}

func (k *fakeKV) lookup(key string) *store.Entry {
	if e, have := k.entries[key]; have {
		return &e
	}
	return nil
}

func (k *fakeKV) CompareAndSwap(_ context.Context, key string, value []byte, index uint64) (bool, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.calls++
	if err := k.failure("cas", key); err != nil {
		return false, err
	}
	unknown := &store.OutcomeUnknownError{Op: "cas", Key: key, Err: store.ErrMalformed}
	switch k.nextFault() {
	case notApplied:
		return false, &store.NotAppliedError{Op: "cas", Key: key, Err: store.ErrMalformed}
	case responseLost:
		k.swap(key, value, index)
		return false, unknown
	case delayed:
		k.delayedWrites = append(k.delayedWrites, func() { k.swap(key, value, index) })
		return false, unknown
	}
	return k.swap(key, value, index), nil
}

func (k *fakeKV) swap(key string, value []byte, index uint64) bool {
	if k.entries[key].Index != index {
		return false
	}
	k.index++
	k.entries[key] = store.Entry{Key: key, Value: value, Index: k.index}
	close(k.changed)
	k.changed = make(chan struct{})
	return true
}

// applyDelayed applies the delayed writes.
func (k *fakeKV) applyDelayed() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, write := range k.delayedWrites {
		write()
	}
	k.delayedWrites = nil
}

func (k *fakeKV) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (*store.Entry, uint64, error) {
	k.mu.Lock()
	k.calls++
	err := k.failure("watch", key)
	e, changed, poll := k.lookup(key), k.changed, k.watchReturnsAtOnce
	if k.staleHead != nil {
		e = k.staleHead
	}
	k.mu.Unlock()
	if err != nil {
		return nil, 0, err
	}
	if e != nil && e.Index > after || poll {
		return e, indexOf(e), nil
	}
	select {
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	case <-changed:
	case <-time.After(wait):
	}
	e, err = k.Get(ctx, key)
	k.mu.Lock()
	k.calls--
	k.mu.Unlock()
	return e, indexOf(e), err
}

func indexOf(e *store.Entry) uint64 {
	if e == nil {
		return 0
	}
	return e.Index
}

func (k *fakeKV) DeleteTree(_ context.Context, prefix string) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.calls++
	for key := range k.entries {
		if strings.HasPrefix(key, prefix) {
			delete(k.entries, key)
		}
	}
	return nil
}

func (*fakeKV) CreateSession(context.Context, time.Duration) (string, error) { return "", nil }
func (*fakeKV) RenewSession(context.Context, string) error                   { return nil }
func (*fakeKV) DestroySession(context.Context, string) error                 { return nil }

func (*fakeKV) Acquire(context.Context, string, []byte, string) (bool, error) { return false, nil }
func (*fakeKV) Release(context.Context, string, []byte, string) (bool, error) { return false, nil }
