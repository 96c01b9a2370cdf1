package store

import (
	"context"
	"encoding/json"
	"net/http"
	"time"
)

const sessionPath = "/v1/session/"

// wireSession is the JSON form of a session.
type wireSession struct {
	ID       string `json:",omitempty"`
	TTL      string `json:",omitempty"`
	Behavior string `json:",omitempty"`
}

// CreateSession implements KV.
func (c *Consul) CreateSession(ctx context.Context, ttl time.Duration) (string, error) {
	body, err := json.Marshal(wireSession{TTL: ttl.String(), Behavior: "release"})
	if err != nil {
		return "", &NotAppliedError{Op: "create-session", Err: err}
	}
	call := call{op: "create-session", method: http.MethodPut, path: sessionPath + "create", body: body, isWrite: true}
	resp, err := c.do(ctx, call)
	if err != nil {
		return "", err
	}
	if resp.status != http.StatusOK {
		return "", &OutcomeUnknownError{Op: call.op, Err: resp.statusError(&call)}
	}
	var created wireSession
	if err := json.Unmarshal(resp.body, &created); err != nil || created.ID == "" {
		return "", &OutcomeUnknownError{Op: call.op, Err: ErrMalformed}
	}
	return created.ID, nil
}

// RenewSession implements KV.
func (c *Consul) RenewSession(ctx context.Context, session string) error {
	return c.sessionCall(ctx, "renew", session)
}

// DestroySession implements KV.
func (c *Consul) DestroySession(ctx context.Context, session string) error {
	return c.sessionCall(ctx, "destroy", session)
}

// sessionCall sends a call that acts on an existing session.
func (c *Consul) sessionCall(ctx context.Context, verb, session string) error {
	call := call{op: verb + "-session", method: http.MethodPut, path: sessionPath + verb + "/" + escapePath(session), key: session, isWrite: true}
	resp, err := c.do(ctx, call)
	if err != nil {
		return err
	}
	switch resp.status {
	case http.StatusOK:
		return nil
	case http.StatusNotFound:
		return &NotAppliedError{Op: call.op, Key: session, Err: ErrNoSession}
	}
	return &OutcomeUnknownError{Op: call.op, Key: session, Err: resp.statusError(&call)}
}
