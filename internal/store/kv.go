package store

import (
	"context"
	"time"
)

// MaxValueSize is the largest value that the service takes, in bytes.
const MaxValueSize = 1 << 20

// Absent is the index that CompareAndSwap takes for a key that must not exist yet.
const Absent uint64 = 0

// Entry is one key with its value.
type Entry struct {
	Key   string
	Value []byte
	// Index is the modification index that CompareAndSwap compares.
	Index uint64
	// Session holds the lease on the key. Empty means that nobody does.
	Session string
}

// KV is the platform's key-value service. Implementations are safe for concurrent use.
//
// A failure before a call could take effect is a NotDoneError, one that leaves it open an
// UnknownError, and an answer of the service that refuses the call a StatusError.
type KV interface {
	// Get returns the entry, or nil when the key does not exist.
	Get(ctx context.Context, key string) (*Entry, error)
	// CompareAndSwap writes value when the key's index equals index; Absent means that the key must
	// not exist. It reports whether the value was written.
	CompareAndSwap(ctx context.Context, key string, value []byte, index uint64) (bool, error)
	// Watch waits until the key's watch index exceeds after, at most wait, and returns the entry, or
	// nil when the key does not exist, and the watch index to pass next.
	Watch(ctx context.Context, key string, after uint64, wait time.Duration) (*Entry, uint64, error)
	// DeleteTree removes all keys that begin with prefix.
	DeleteTree(ctx context.Context, prefix string) error
	// CreateSession starts a lease that lapses when not renewed for ttl.
	CreateSession(ctx context.Context, ttl time.Duration) (string, error)
	// RenewSession restarts the lease's term. It returns ErrNoSession after the lease has lapsed.
	RenewSession(ctx context.Context, session string) error
	// DestroySession ends the lease and frees the keys it holds.
	DestroySession(ctx context.Context, session string) error
	// Acquire writes value and takes the key for the session. It reports false when another holds it.
	Acquire(ctx context.Context, key string, value []byte, session string) (bool, error)
	// Release frees the key. It reports false when the session does not hold it.
	Release(ctx context.Context, key string, value []byte, session string) (bool, error)
}

// PutIfAbsent writes a key that must not exist yet. It reports whether the value was written.
func PutIfAbsent(ctx context.Context, kv KV, key string, value []byte) (bool, error) {
	return kv.CompareAndSwap(ctx, key, value, Absent)
}
