package revision

import (
	"context"
	"time"

	"github.com/bilberryline/bilberryline/internal/peer"
	"github.com/bilberryline/bilberryline/internal/revision/revisionpb"
)

// maxResponseBytes bounds the total size of the chunks in one response.
const maxResponseBytes = 256 << 10

// serveTimeout bounds the handling of one request.
const serveTimeout = 5 * time.Second

// Handle serves one request from another host. It is registered under Method.
func (f *Follower) Handle(_ context.Context, s peer.Stream) {
	_ = s.SetDeadline(f.cfg.Clock.Now().Add(serveTimeout))
	req := &revisionpb.Request{}
	if s.Recv(req) != nil {
		return
	}
	_ = s.Send(f.handleRequest(s.Remote(), req))
}

// handleRequest returns the requested manifest and chunks as far as they are held. It records the
// revision that the other host holds.
func (f *Follower) handleRequest(remote string, req *revisionpb.Request) *revisionpb.Response {
	f.addOffer(remote, recordFromProto(req.GetHeld()))
	h := f.held.Load()
	if h == nil {
		return &revisionpb.Response{}
	}
	resp := &revisionpb.Response{Held: h.record.toProto()}
	if string(req.GetManifest()) == string(h.content.hash[:]) {
		resp.Manifest = h.content.encoded
	}
	size := 0
	for _, raw := range req.GetChunks() {
		if len(raw) != len(Hash{}) {
			continue
		}
		chunk, have := h.content.chunks[Hash(raw)]
		if !have {
			continue
		}
		size += len(chunk)
		if size > maxResponseBytes {
			break
		}
		resp.Chunks = append(resp.Chunks, chunk)
	}
	return resp
}
