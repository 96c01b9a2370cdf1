package revision

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"fmt"

	pkgerrors "github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/bilberryline/bilberryline/internal/revision/revisionpb"
	"github.com/bilberryline/bilberryline/internal/store"
)

const (
	generationPrefix = "bilberryline/generation/"
	// maxPackBytes bounds the size of a pack. By default the store accepts values of at most 512 KiB.
	maxPackBytes = 500 << 10
)

// storage reads heads and contents from the key-value store.
type storage struct {
	kv store.KV
}

func generationKey(generation uint64) string {
	return fmt.Sprintf("%s%d/", generationPrefix, generation)
}

func manifestKey(generation uint64, hash string) string {
	return generationKey(generation) + "manifest/" + hash
}

func packKey(generation uint64, hash []byte) string {
	return generationKey(generation) + "pack/" + hex.EncodeToString(hash)
}

// readHead returns the head and the index for its compare-and-swap. If the store has no head, it
// returns an empty one, never nil.
func (s storage) readHead(ctx context.Context) (*Head, uint64, error) {
	entry, err := s.kv.Get(ctx, HeadKey)
	if err != nil {
		return nil, 0, err
	}
	return parseHead(entry)
}

// parseHead decodes the head and returns it with its index. A nil entry stands for an empty head.
func parseHead(entry *store.Entry) (*Head, uint64, error) {
	if entry == nil {
		return &Head{Format: headFormat, CollectedBelow: 1}, store.Absent, nil
	}
	h := &Head{}
	if err := json.Unmarshal(entry.Value, h); err != nil || h.Format != headFormat {
		return nil, 0, &CorruptError{Part: "head", Source: entry.Key}
	}
	return h, entry.Index, nil
}

// readManifest returns the manifest of a record, as a content without chunks and in its stored form.
func (s storage) readManifest(ctx context.Context, r *Record) (*content, *revisionpb.StoredManifest, error) {
	key := manifestKey(r.Generation, r.Hash)
	entry, err := s.kv.Get(ctx, key)
	if err != nil {
		return nil, nil, err
	}
	if entry == nil {
		return nil, nil, pkgerrors.Wrap(ErrUnavailable, key)
	}
	stored := &revisionpb.StoredManifest{}
	if err := proto.Unmarshal(entry.Value, stored); err != nil {
		return nil, nil, &CorruptError{Part: "stored manifest", Source: key}
	}
	c, err := parseManifest(stored.GetManifest(), r.Hash, key)
	return c, stored, err
}

// readContent returns the complete content of a record. It reads only packs with chunks that old
// lacks. old may be nil.
func (s storage) readContent(ctx context.Context, r *Record, old *content) (*content, error) {
	c, stored, err := s.readManifest(ctx, r)
	if err != nil {
		return nil, err
	}
	c.reuseChunks(old)
	if err := s.readMissingChunks(ctx, r.Generation, c, stored); err != nil {
		return nil, err
	}
	return c, nil
}

// readMissingChunks reads the chunks that c lacks from their packs and adds them to c.
func (s storage) readMissingChunks(ctx context.Context, generation uint64, c *content, stored *revisionpb.StoredManifest) error {
	needed := map[Hash]bool{}
	for _, hash := range c.missingChunks() {
		needed[hash] = true
	}
	packs := map[uint32][]byte{}
	for _, p := range stored.GetPlaces() {
		if len(p.GetChunk()) != len(Hash{}) || !needed[Hash(p.GetChunk())] {
			continue
		}
		pack, err := s.readPack(ctx, generation, stored, p.GetPack(), packs)
		if err != nil {
			return err
		}
		chunk, err := chunkAt(pack, p)
		if err != nil {
			return err
		}
		c.chunks[Hash(p.GetChunk())] = chunk
	}
	if len(c.missingChunks()) > 0 {
		return &CorruptError{Part: "stored manifest without all chunks", Source: generationKey(generation)}
	}
	return nil
}

// readPack returns pack i of a stored manifest. It caches packs in cache.
func (s storage) readPack(ctx context.Context, generation uint64, stored *revisionpb.StoredManifest, i uint32, cache map[uint32][]byte) ([]byte, error) {
	if data, have := cache[i]; have {
		return data, nil
	}
	if int(i) >= len(stored.GetPacks()) {
		return nil, &CorruptError{Part: "place of a chunk", Source: generationKey(generation)}
	}
	key := packKey(generation, stored.GetPacks()[i])
	entry, err := s.kv.Get(ctx, key)
	if err != nil {
		return nil, err
	}
	if entry == nil {
		return nil, pkgerrors.Wrap(ErrUnavailable, key)
	}
	cache[i] = entry.Value
	return entry.Value, nil
}

// chunkAt returns the chunk at place p of a pack after verifying its hash.
func chunkAt(pack []byte, p *revisionpb.Place) ([]byte, error) {
	end := uint64(p.GetOffset()) + uint64(p.GetLength())
	if end > uint64(len(pack)) {
		return nil, &CorruptError{Part: "place of a chunk", Source: "pack"}
	}
	chunk := pack[p.GetOffset():end]
	if hash := hashOf(chunk); hash != Hash(p.GetChunk()) {
		return nil, &CorruptError{Part: "chunk", Source: "pack"}
	}
	return chunk, nil
}
