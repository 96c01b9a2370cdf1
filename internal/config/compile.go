package config

// AnonymousCaller is the caller name of all clients when a declaration has no callers field.
const AnonymousCaller = "anonymous"

// File names in errors when a declaration does not come from a folder.
const (
	baseFile    = "base.yaml"
	overlayFile = "overlay"
)

// Compile merges base with overlay, checks the result and builds the snapshot of site. overlay may
// be nil. The error is of type DeclarationErrors.
func Compile(base, overlay []byte, site string) (*Snapshot, error) {
	name := overlayFile
	if site != "" {
		name = siteFile(site)
	}
	return compileFiles(baseFile, base, name, overlay, site)
}

func compileFiles(baseName string, base []byte, overlayName string, overlay []byte, site string) (*Snapshot, error) {
	baseDoc, errs := parseDocument(baseName, base, baseKind)
	if len(errs) > 0 {
		return nil, errs
	}
	return compileOn(baseDoc, overlayName, overlay, site)
}

// compileOn builds the snapshot of site from base and an overlay, which may be nil.
func compileOn(base *document, overlayName string, overlay []byte, site string) (*Snapshot, error) {
	var overlayDoc *document
	if overlay != nil {
		var errs DeclarationErrors
		overlayDoc, errs = parseDocument(overlayName, overlay, overlayKind)
		if len(errs) > 0 {
			return nil, errs
		}
	}
	m, errs := merge(base, overlayDoc)
	if len(errs) > 0 {
		return nil, errs
	}
	return checkAndBuild(m, site)
}

// checkAndBuild checks a merged declaration and builds its snapshot.
func checkAndBuild(m *merged, site string) (*Snapshot, error) {
	errs := append(checkDeclaration(m), checkSite(m, site)...)
	if len(errs) > 0 {
		return nil, errs
	}
	return build(m.declaration, site), nil
}

// checkSite reports a site.name that differs from the overlay's site.
func checkSite(m *merged, site string) DeclarationErrors {
	s := m.declaration.Site
	if s == nil || s.Name == "" || site == "" || s.Name == site {
		return nil
	}
	c := &checker{merged: m}
	c.report(Clash, "site.name", s.Name, site)
	return c.errs
}
