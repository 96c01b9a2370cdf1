package dedupe

import (
	"crypto/sha256"
	"encoding/binary"
)

// Fingerprint identifies the content of a request.
type Fingerprint [sha256.Size]byte

// NewFingerprint hashes the parts that two requests must share to count as the same request. Each
// part is hashed with its length, so that different parts can't produce the same input.
func NewFingerprint(method, path string, body []byte) Fingerprint {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(method), []byte(path), body} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		h.Write(length[:])
		h.Write(part)
	}
	return Fingerprint(h.Sum(nil))
}
