package store

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

const kvPath = "/v1/kv/"

// wireEntry is the JSON form of an entry. The service encodes Value in base64, which encoding/json decodes.
type wireEntry struct {
	Key         string
	Value       []byte
	ModifyIndex uint64
	Session     string
}

// Get implements KV.
func (c *Consul) Get(ctx context.Context, key string) (*Entry, error) {
	entry, _, err := c.read(ctx, &call{op: "get", method: http.MethodGet, path: kvPath + escapePath(key), key: key})
	return entry, err
}

// Watch implements KV. A service that has lost its state returns a lower index. The watch then starts over from
// that index, as the protocol requires.
func (c *Consul) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (*Entry, uint64, error) {
	query := url.Values{}
	query.Set("index", strconv.FormatUint(after, 10))
	query.Set("wait", wait.String())
	return c.read(ctx, &call{op: "watch", method: http.MethodGet, path: kvPath + escapePath(key), query: query, key: key, wait: wait})
}

// read sends a call that reads one key, and returns the entry and the watch index.
func (c *Consul) read(ctx context.Context, call *call) (*Entry, uint64, error) {
	resp, err := c.do(ctx, *call)
	if err != nil {
		return nil, 0, err
	}
	switch resp.status {
	case http.StatusNotFound:
		return nil, resp.index, nil
	case http.StatusOK:
	default:
		return nil, 0, &NotAppliedError{Op: call.op, Key: call.key, Err: resp.statusError(call)}
	}
	var entries []wireEntry
	if err := json.Unmarshal(resp.body, &entries); err != nil || len(entries) != 1 || entries[0].Key != call.key {
		return nil, 0, &NotAppliedError{Op: call.op, Key: call.key, Err: ErrMalformed}
	}
	e := entries[0]
	index := max(resp.index, e.ModifyIndex)
	return &Entry{Key: e.Key, Value: e.Value, Index: e.ModifyIndex, Session: e.Session}, index, nil
}

// CompareAndSwap implements KV.
func (c *Consul) CompareAndSwap(ctx context.Context, key string, value []byte, index uint64) (bool, error) {
	return c.put(ctx, "compare-and-swap", key, value, "cas", strconv.FormatUint(index, 10))
}

// Acquire implements KV.
func (c *Consul) Acquire(ctx context.Context, key string, value []byte, session string) (bool, error) {
	return c.put(ctx, "acquire", key, value, "acquire", session)
}

// Release implements KV.
func (c *Consul) Release(ctx context.Context, key string, value []byte, session string) (bool, error) {
	return c.put(ctx, "release", key, value, "release", session)
}

func (c *Consul) put(ctx context.Context, op, key string, value []byte, parameter, argument string) (bool, error) {
	if len(value) > MaxValueSize {
		return false, &NotAppliedError{Op: op, Key: key, Err: ErrTooLarge}
	}
	call := call{op: op, method: http.MethodPut, path: kvPath + escapePath(key), key: key, body: value, isWrite: true}
	call.query = url.Values{parameter: {argument}}
	resp, err := c.do(ctx, call)
	if err != nil {
		return false, err
	}
	return resp.parseBool(&call)
}

// DeleteTree implements KV.
func (c *Consul) DeleteTree(ctx context.Context, prefix string) error {
	call := call{op: "delete", method: http.MethodDelete, path: kvPath + escapePath(prefix), key: prefix, isWrite: true}
	call.query = url.Values{"recurse": {"true"}}
	resp, err := c.do(ctx, call)
	if err != nil {
		return err
	}
	_, err = resp.parseBool(&call)
	return err
}

// escapePath escapes a key for use in a URL path. It keeps the slashes.
func escapePath(key string) string {
	return (&url.URL{Path: key}).EscapedPath()
}
