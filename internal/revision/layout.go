package revision

import (
	"slices"

	"github.com/bilberryline/bilberryline/internal/revision/revisionpb"
)

// maxGenerationRevisions is the number of revisions after which all chunks are packed again into a new
// generation. It bounds the number of packs that a read of a complete content needs and the amount of
// data in a generation.
const maxGenerationRevisions = 32

// layout assigns the chunks of one content to packs in the store.
type layout struct {
	generation uint64
	stored     *revisionpb.StoredManifest
	// newPacks are the packs that have yet to be written.
	newPacks [][]byte
}

// newLayout returns the layout of c. Chunks that the parent's layout contains stay where they are. If
// repack is set, all chunks are instead packed again into the next generation. parent may be nil.
func newLayout(c *content, parent *revisionpb.StoredManifest, generation uint64, repack bool) *layout {
	l := &layout{generation: generation, stored: &revisionpb.StoredManifest{Manifest: c.encoded}}
	empty := &content{manifest: c.manifest, chunks: map[Hash][]byte{}}
	all := empty.missingChunks()
	if parent == nil {
		l.packChunks(c, all)
		return l
	}
	known := map[Hash]*revisionpb.Place{}
	for _, p := range parent.GetPlaces() {
		known[Hash(p.GetChunk())] = p
	}
	isNew := func(h Hash) bool { return known[h] == nil }
	isStored := func(h Hash) bool { return known[h] != nil }
	added := slices.DeleteFunc(slices.Clone(all), isStored)
	kept := slices.DeleteFunc(all, isNew)
	if repack {
		l.generation++
		l.packChunks(c, kept)
	} else {
		l.reusePlaces(parent, known, kept)
	}
	l.packChunks(c, added)
	return l
}

// reusePlaces copies the places of chunks that the parent already stores. It renumbers packs, since
// packs that no chunk needs are left out.
func (l *layout) reusePlaces(parent *revisionpb.StoredManifest, known map[Hash]*revisionpb.Place, hashes []Hash) {
	renumbered := map[uint32]uint32{}
	for _, hash := range hashes {
		p := known[hash]
		n, have := renumbered[p.GetPack()]
		if !have {
			n = uint32(len(l.stored.Packs))
			renumbered[p.GetPack()] = n
			l.stored.Packs = append(l.stored.Packs, parent.GetPacks()[p.GetPack()])
		}
		l.stored.Places = append(l.stored.Places, &revisionpb.Place{
			Chunk: p.GetChunk(), Pack: n, Offset: p.GetOffset(), Length: p.GetLength(),
		})
	}
}

// packChunks assigns chunks to new packs.
func (l *layout) packChunks(c *content, hashes []Hash) {
	var pack []byte
	flush := func() {
		if len(pack) == 0 {
			return
		}
		hash := hashOf(pack)
		l.stored.Packs = append(l.stored.Packs, hash[:])
		l.newPacks = append(l.newPacks, pack)
		pack = nil
	}
	for _, hash := range hashes {
		chunk := c.chunks[hash]
		if len(pack)+len(chunk) > maxPackBytes {
			flush()
		}
		l.stored.Places = append(l.stored.Places, &revisionpb.Place{
			Chunk: hash[:], Pack: uint32(len(l.stored.Packs)), Offset: uint32(len(pack)), Length: uint32(len(chunk)),
		})
		pack = append(pack, chunk...)
	}
	flush()
}
