package routing

import "crypto/sha256"

// keyDigest is the hash of an API key. Looking a key up by its hash doesn't reveal by its duration how much of a guess is
// right.
type keyDigest [sha256.Size]byte

// workspaceKeys maps the keys of all workspaces to their workspaces.
type workspaceKeys map[keyDigest]*Workspace

// newWorkspaceKeys indexes the keys. A key that several workspaces list belongs to the first of them. Empty keys belong
// to none.
func newWorkspaceKeys(workspaces []*Workspace) workspaceKeys {
	index := workspaceKeys{}
	for _, w := range workspaces {
		for _, key := range w.Keys {
			digest := keyDigest(sha256.Sum256([]byte(key)))
			if index[digest] == nil && key != "" {
				index[digest] = w
			}
		}
	}
	return index
}

func (k workspaceKeys) find(key string) *Workspace {
	if key == "" {
		return nil
	}
	return k[keyDigest(sha256.Sum256([]byte(key)))]
}
