// Package revision accepts configurations by a single compare-and-swap in the key-value store and
// distributes accepted revisions to the entry hosts. A host's revision number never decreases.
package revision
