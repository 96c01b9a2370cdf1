// Package rendezvous ranks nodes for a key by highest random weight (rendezvous) hashing
// (Thaler and Ravishankar, "Using name-based mappings to increase hit rates", 1998).
// Removing a node moves only the keys for which that node ranked first.
package rendezvous

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Weight returns the weight of node for key. A higher weight ranks first.
func Weight(key, node string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(node)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(key)
	return d.Sum64()
}

// Owner returns the node that ranks first for key, or the empty string if nodes is empty.
func Owner(key string, nodes []string) string {
	best, bestWeight := "", uint64(0)
	for _, node := range nodes {
		w := Weight(key, node)
		if best == "" || w > bestWeight || (w == bestWeight && node < best) {
			best, bestWeight = node, w
		}
	}
	return best
}

// Rank returns nodes in descending order of their weight for key.
func Rank(key string, nodes []string) []string {
	ranked := slices.Clone(nodes)
	slices.SortFunc(ranked, func(a, b string) int {
		wa, wb := Weight(key, a), Weight(key, b)
		switch {
		case wa > wb:
			return -1
		case wa < wb:
			return 1
		case a < b:
			return -1
		case a > b:
			return 1
		}
		return 0
	})
	return ranked
}
