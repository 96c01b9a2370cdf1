package config

import (
	"encoding/json"

	"sigs.k8s.io/yaml"
)

// Render returns the merged declaration of one site as YAML, or as JSON. The error is of type
// DeclarationErrors unless encoding fails.
func (t *Tree) Render(site string, asJSON bool) ([]byte, error) {
	base, errs := parseDocument(baseFile, t.Base, baseKind)
	if len(errs) > 0 {
		return nil, errs
	}
	var overlay *document
	if data, have := t.Overlays[site]; have {
		overlay, errs = parseDocument(siteFile(site), data, overlayKind)
	}
	if len(errs) > 0 {
		return nil, errs
	}
	m, errs := merge(base, overlay)
	if len(errs) > 0 {
		return nil, errs
	}
	if _, known := sitesOf(m.declaration)[site]; !known && overlay == nil {
		return nil, DeclarationErrors{{Kind: UnknownName, File: baseFile, Value: site, Want: "the name of a declared data centre"}}
	}
	if asJSON {
		text, err := json.MarshalIndent(m.declaration, "", "  ")
		return append(text, '\n'), err
	}
	return yaml.Marshal(m.declaration)
}
