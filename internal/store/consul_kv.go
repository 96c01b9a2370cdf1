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

// wireEntry is an entry in the service's JSON. Value is in base64, which encoding/json decodes.
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

// Watch implements KV. A service that lost its state answers with a lower index; the watch then
// starts over from it, as the protocol asks.
func (c *Consul) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (*Entry, uint64, error) {
	query := url.Values{}
	query.Set("index", strconv.FormatUint(after, 10))
	query.Set("wait", wait.String())
	return c.read(ctx, &call{op: "watch", method: http.MethodGet, path: kvPath + escapePath(key), query: query, key: key, wait: wait})
}

func (c *Consul) read(ctx context.Context, call *call) (*Entry, uint64, error) {
	answer, err := c.do(ctx, *call)
	if err != nil {
		return nil, 0, err
	}
	switch answer.status {
	case http.StatusNotFound:
		return nil, answer.index, nil
	case http.StatusOK:
	default:
		return nil, 0, &NotAppliedError{Op: call.op, Key: call.key, Err: answer.statusError(call)}
	}
	var entries []wireEntry
	if err := json.Unmarshal(answer.body, &entries); err != nil || len(entries) != 1 || entries[0].Key != call.key {
		return nil, 0, &NotAppliedError{Op: call.op, Key: call.key, Err: ErrMalformed}
	}
	e := entries[0]
	index := max(answer.index, e.ModifyIndex)
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
	answer, err := c.do(ctx, call)
	if err != nil {
		return false, err
	}
	return answer.parseBool(&call)
}

// DeleteTree implements KV.
func (c *Consul) DeleteTree(ctx context.Context, prefix string) error {
	call := call{op: "delete", method: http.MethodDelete, path: kvPath + escapePath(prefix), key: prefix, isWrite: true}
	call.query = url.Values{"recurse": {"true"}}
	answer, err := c.do(ctx, call)
	if err != nil {
		return err
	}
	_, err = answer.parseBool(&call)
	return err
}

// escapePath keeps the slashes of a key.
func escapePath(key string) string {
	return (&url.URL{Path: key}).EscapedPath()
}
