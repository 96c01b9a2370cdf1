package config

import (
	"bytes"
	"encoding/json"

	jsonpatch "github.com/evanphx/json-patch/v5"
)

// merged is the declaration of one site and the files from which it was merged.
type merged struct {
	declaration *Declaration
	base        *document
	overlay     *document
}

// merge applies the overlay to the base by JSON Merge Patch (RFC 7396). overlay may be nil.
func merge(base, overlay *document) (*merged, DeclarationErrors) {
	m := &merged{declaration: &Declaration{}, base: base, overlay: overlay}
	data := base.json
	if overlay != nil {
		patched, err := jsonpatch.MergePatch(base.json, overlay.json)
		if err != nil {
			return nil, DeclarationErrors{{Kind: Syntax, File: overlay.file, Value: err.Error(), Want: "a JSON Merge Patch"}}
		}
		data = patched
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(m.declaration); err != nil {
		return nil, DeclarationErrors{{Kind: WrongType, File: base.file, Value: err.Error(), Want: "the fields of " + Version}}
	}
	return m, nil
}

// locate returns the file and line that set the field at path or, if the field is not set, its nearest
// parent that is set.
func (m *merged) locate(path string) (file string, line int) {
	for p := path; p != ""; p = parentPath(p) {
		if m.overlay != nil {
			if line, ok := m.overlay.lines[p]; ok {
				return m.overlay.file, line
			}
		}
		if line, ok := m.base.lines[p]; ok {
			return m.base.file, line
		}
	}
	return m.base.file, 0
}

func parentPath(path string) string {
	for i := len(path) - 1; i >= 0; i-- {
		if path[i] == '.' {
			return path[:i]
		}
	}
	return ""
}
