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

// Names of files within a manifest.
const (
	baseFileName  = "base.yaml"
	overlayPrefix = "sites/"
	overlaySuffix = ".yaml"
)

// maxFileBytes bounds the bytes of all files of a revision.
const maxFileBytes = 64 << 20

// content is the whole content of one revision, verified by hash.
type content struct {
	hash     Hash
	encoded  []byte
	manifest *revisionpb.Manifest
	chunks   map[Hash][]byte
}

// newContent brings a tree into its canonical form and cuts it into chunks.
func newContent(tree *config.Tree) (*content, error) {
	canonical, err := tree.Canonical()
	if err != nil {
		return nil, err
	}
	return newContentVerbatim(canonical)
}

// newContentVerbatim cuts a tree into chunks as it stands.
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

// parseManifest verifies an encoded manifest against its hexadecimal hash. The content's chunks are
// still to be filled in.
func parseManifest(encoded []byte, want, source string) (*content, error) {
	c := &content{encoded: encoded, hash: hashOf(encoded), manifest: &revisionpb.Manifest{}, chunks: map[Hash][]byte{}}
	if hex.EncodeToString(c.hash[:]) != want {
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

// hexHash returns the hexadecimal hash.
func (c *content) hexHash() string { return hex.EncodeToString(c.hash[:]) }

// missingChunks lists the chunks that are not there yet, each once, in order.
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

// reuseChunks takes over the chunks of old that c refers to. old may be nil.
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

// tree puts the files together. All chunks must be there.
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
