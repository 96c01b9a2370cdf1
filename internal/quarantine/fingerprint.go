package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
)

// Fingerprint identifies a request by its sender and content.
type Fingerprint struct {
	// Caller is the caller's name from the configuration.
	Caller string
	// Service is the service's name from the configuration.
	Service string
	// Sum is the truncated SHA-256 hash of method, path and body.
	Sum [16]byte
}

// key returns a string that differs between fingerprints.
func (fp Fingerprint) key() string {
	return fp.Caller + "\x00" + fp.Service + "\x00" + string(fp.Sum[:])
}

// NewFingerprint returns the fingerprint of a request.
func NewFingerprint(caller, service, method, path string, body []byte) Fingerprint {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(method), []byte(path), body} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		h.Write(length[:])
		h.Write(part)
	}
	return Fingerprint{Caller: caller, Service: service, Sum: [16]byte(h.Sum(nil)[:16])}
}
