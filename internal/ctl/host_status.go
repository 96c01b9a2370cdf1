package ctl

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"
)

// maxStatusSize is the maximum size of a host's response to /status, in bytes.
const maxStatusSize = 16 << 20

// statusTimeout is the timeout of a status request to one host.
const statusTimeout = 3 * time.Second

// hostStatus is the part of a host's response to /status that bilberryctl uses.
type hostStatus struct {
	Host         string         `json:"host"`
	Version      string         `json:"version"`
	Revision     uint64         `json:"revision"`
	Hash         string         `json:"hash"`
	InForceSince string         `json:"in_force_since"`
	Members      []memberStatus `json:"members"`
}

// memberStatus is an entry host as another host sees it in its membership.
type memberStatus struct {
	ID           string `json:"id"`
	Site         string `json:"site"`
	Region       string `json:"region"`
	State        string `json:"state"`
	AdminAddress string `json:"admin_address"`
}

// fetchStatus requests the status of the host with the given admin address. On failure it returns a StatusError.
func fetchStatus(ctx context.Context, address string) (*hostStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/status", http.NoBody)
	if err != nil {
		return nil, &StatusError{Address: address, Err: err}
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, &StatusError{Address: address, Err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, &StatusError{Address: address, Status: resp.StatusCode}
	}
	s := &hostStatus{}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxStatusSize)).Decode(s); err != nil {
		return nil, &StatusError{Address: address, Err: err}
	}
	return s, nil
}
