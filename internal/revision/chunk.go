package revision

import "crypto/sha256"

// Limits of content-defined chunking. Between the two sizes, in bytes, a chunk ends where the rolling
// hash over the last bytes has all bits of chunkBoundaryMask clear. An edit therefore changes only the
// chunks that it touches.
const (
	minChunkBytes     = 1 << 10
	maxChunkBytes     = 16 << 10
	chunkBoundaryMask = (1<<12 - 1) << 20
)

// gearTable holds one pseudo-random number per byte value for the rolling hash of the Gear algorithm
// (Xia et al., "FastCDC", 2016).
var gearTable = newGearTable()

func newGearTable() [256]uint64 {
	var table [256]uint64
	state := uint64(0x9e3779b97f4a7c15)
	for i := range table {
		state += 0x9e3779b97f4a7c15
		table[i] = splitMix64(state)
	}
	return table
}

// splitMix64 is the output function of SplitMix64 (Steele, Lea and Flood, 2014).
func splitMix64(z uint64) uint64 {
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// splitChunks splits data into chunks whose boundaries depend on the content alone. The chunks share
// data's memory.
func splitChunks(data []byte) [][]byte {
	var chunks [][]byte
	for len(data) > 0 {
		n := nextChunkLength(data)
		chunks = append(chunks, data[:n:n])
		data = data[n:]
	}
	return chunks
}

// nextChunkLength returns the length of the first chunk of data.
func nextChunkLength(data []byte) int {
	limit := min(len(data), maxChunkBytes)
	var hash uint64
	for i := range limit {
		hash = hash<<1 + gearTable[data[i]]
		if i >= minChunkBytes && hash&chunkBoundaryMask == 0 {
			return i + 1
		}
	}
	return limit
}

// Hash is a SHA-256 hash.
type Hash [sha256.Size]byte

func hashOf(data []byte) Hash { return sha256.Sum256(data) }
