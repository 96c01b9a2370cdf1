package revision

import (
	"encoding/hex"
	"maps"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/bilberryline/bilberryline/internal/config"
	"github.com/bilberryline/bilberryline/internal/revision/revisionpb"
)

// Names of files in a manifest.
const (
	baseFileName  = "base.yaml"
	overlayPrefix = "sites/"
	overlaySuffix = ".yaml"
)

// maxFileBytes bounds the bytes of one file of a revision.
const maxFileBytes = 64 << 20

// content is the content of one revision. It is complete when chunks has an entry for each hash in
// the manifest.
type content struct {
	// hash is the hash of the encoded manifest.
	hash Hash
	// encoded is the encoded manifest.
	encoded  []byte
	manifest *revisionpb.Manifest
	chunks   map[Hash][]byte
}

// newContent converts a tree to its canonical form and splits it into chunks.
func newContent(tree *config.Tree) (*content, error) {
	canonical, err := tree.Canonical()
	if err != nil {
		return nil, err
	}
	return newContentVerbatim(canonical)
}

// newContentVerbatim splits a tree into chunks without converting it to its canonical form.
func newContentVerbatim(tree *config.Tree) (*content, error) {
	c := &content{manifest: &revisionpb.Manifest{}, chunks: map[Hash][]byte{}}
	c.addFile(baseFileName, tree.Base)
	for _, site := range slices.Sorted(maps.Keys(tree.Overlays)) {
		c.addFile(overlayPrefix+site+overlaySuffix, tree.Overlays[site])
	}
	encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(c.manifest)
	if err != nil {
		return nil, err
	}
	c.encoded, c.hash = encoded, hashOf(encoded)
	return c, nil
}

func (c *content) addFile(name string, data []byte) {
	f := &revisionpb.File{Name: name}
	for _, chunk := range splitChunks(data) {
		hash := hashOf(chunk)
		c.chunks[hash] = chunk
		f.Chunks = append(f.Chunks, hash[:])
	}
	c.manifest.Files = append(c.manifest.Files, f)
}

// parseManifest verifies an encoded manifest against its hexadecimal hash. It returns a content
// without chunks. source names the manifest's origin in errors.
func parseManifest(encoded []byte, wantHash, source string) (*content, error) {
	c := &content{encoded: encoded, hash: hashOf(encoded), manifest: &revisionpb.Manifest{}, chunks: map[Hash][]byte{}}
	if hex.EncodeToString(c.hash[:]) != wantHash {
		return nil, &CorruptError{Part: "manifest", Source: source}
	}
	if err := proto.Unmarshal(encoded, c.manifest); err != nil {
		return nil, &CorruptError{Part: "manifest", Source: source}
	}
	for _, f := range c.manifest.GetFiles() {
		for _, chunk := range f.GetChunks() {
			if len(chunk) != len(Hash{}) {
				return nil, &CorruptError{Part: "chunk hash", Source: source}
			}
		}
	}
	return c, nil
}

// hexHash returns the manifest's hash in hexadecimal form.
func (c *content) hexHash() string { return hex.EncodeToString(c.hash[:]) }

// missingChunks returns the hashes of the chunks that c lacks, each once, in the manifest's order.
func (c *content) missingChunks() []Hash {
	var hashes []Hash
	seen := map[Hash]bool{}
	for _, f := range c.manifest.GetFiles() {
		for _, raw := range f.GetChunks() {
			hash := Hash(raw)
			if _, have := c.chunks[hash]; have || seen[hash] {
				continue
			}
			seen[hash] = true
			hashes = append(hashes, hash)
		}
	}
	return hashes
}

// reuseChunks copies the chunks that c lacks from old as far as old has them. old may be nil.
func (c *content) reuseChunks(old *content) {
	if old == nil {
		return
	}
	for _, hash := range c.missingChunks() {
		if chunk, have := old.chunks[hash]; have {
			c.chunks[hash] = chunk
		}
	}
}

// tree assembles the files from their chunks. It returns ErrUnavailable when a chunk is missing.
func (c *content) tree() (*config.Tree, error) {
	tree := &config.Tree{Overlays: map[string][]byte{}}
	for _, f := range c.manifest.GetFiles() {
		data, err := c.fileData(f)
		if err != nil {
			return nil, err
		}
		if f.GetName() == baseFileName {
			tree.Base = data
			continue
		}
		site := strings.TrimSuffix(strings.TrimPrefix(f.GetName(), overlayPrefix), overlaySuffix)
		tree.Overlays[site] = data
	}
	return tree, nil
}

func (c *content) fileData(f *revisionpb.File) ([]byte, error) {
	data := []byte{}
	for _, raw := range f.GetChunks() {
		chunk, have := c.chunks[Hash(raw)]
		if !have {
			return nil, ErrUnavailable
		}
		if len(data)+len(chunk) > maxFileBytes {
			return nil, &CorruptError{Part: "file " + f.GetName(), Source: "manifest"}
		}
		data = append(data, chunk...)
	}
	return data, nil
}
