package config

import (
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
)

const (
	sitesFolder   = "sites"
	fileExtension = ".yaml"
)

// Tree is the declaration of all sites: the base file and an overlay for each site that has one.
type Tree struct {
	Base []byte
	// Overlays are the overlays by site.
	Overlays map[string][]byte
}

// ReadTree reads base.yaml and sites/NAME.yaml of a folder. The error is of type DeclarationErrors.
func ReadTree(folder string) (*Tree, error) {
	base, err := readFile(filepath.Join(folder, baseFile))
	if err != nil {
		return nil, err
	}
	tree := &Tree{Base: base, Overlays: map[string][]byte{}}
	entries, err := os.ReadDir(filepath.Join(folder, sitesFolder))
	if os.IsNotExist(err) {
		return tree, nil
	}
	if err != nil {
		return nil, DeclarationErrors{{Kind: Unreadable, File: sitesFolder, Value: err.Error(), Want: "a readable folder"}}
	}
	for _, entry := range entries {
		if entry.IsDir() || !strings.HasSuffix(entry.Name(), fileExtension) {
			continue
		}
		data, err := readFile(filepath.Join(folder, sitesFolder, entry.Name()))
		if err != nil {
			return nil, err
		}
		tree.Overlays[siteOf(entry.Name())] = data
	}
	return tree, nil
}

// Compile builds the snapshot of one site. A site without overlay gets the base file alone.
func (t *Tree) Compile(site string) (*Snapshot, error) {
	return Compile(t.Base, t.Overlays[site], site)
}

// CompileAll checks the base file alone and with each overlay. It returns the snapshots by site,
// for each declared data centre and each overlay; without any, that of the empty name. DeclarationErrors
// are of all sites together.
func (t *Tree) CompileAll() (map[string]*Snapshot, error) {
	base, errs := parseDocument(baseFile, t.Base, baseKind)
	if len(errs) > 0 {
		return nil, errs
	}
	alone, err := compileWithBase(base, "", nil, "")
	if err != nil {
		return nil, err
	}
	snapshots := map[string]*Snapshot{}
	for _, region := range alone.Regions {
		for _, site := range region.Sites {
			snapshots[site] = nil
		}
	}
	errs = t.reportUndeclaredOverlays(alone, snapshots)
	sites := sortedKeys(snapshots)
	for i, result := range t.compileSites(base, sites) {
		if result.err != nil {
			errs = appendNew(errs, result.err)
		}
		snapshots[sites[i]] = result.snapshot
	}
	if len(errs) > 0 {
		return nil, errs
	}
	if len(snapshots) == 0 {
		snapshots[""] = alone
	}
	return snapshots, nil
}

// compileResult is the outcome of compiling one site.
type compileResult struct {
	snapshot *Snapshot
	err      error
}

// compileSites compiles sites at once, as many as there are processors. Results are in the order of
// sites.
func (t *Tree) compileSites(base *document, sites []string) []compileResult {
	results := make([]compileResult, len(sites))
	free := make(chan struct{}, runtime.GOMAXPROCS(0))
	var group sync.WaitGroup
	for i, site := range sites {
		free <- struct{}{}
		group.Go(func() {
			defer func() { <-free }()
			results[i].snapshot, results[i].err = compileWithBase(base, siteFile(site), t.Overlays[site], site)
		})
	}
	group.Wait()
	return results
}

// reportUndeclaredOverlays reports overlays of data centres that the base file does not declare.
func (t *Tree) reportUndeclaredOverlays(alone *Snapshot, sites map[string]*Snapshot) DeclarationErrors {
	var errs DeclarationErrors
	for _, site := range sortedKeys(t.Overlays) {
		_, known := sites[site]
		if !known && len(alone.Regions) > 0 {
			errs = append(errs, &DeclarationError{Kind: UnknownName, File: siteFile(site), Value: site, Want: "the name of a declared data centre"})
			continue
		}
		sites[site] = nil
	}
	return errs
}

// appendNew adds the errs in err that are not yet in errs.
func appendNew(errs DeclarationErrors, err error) DeclarationErrors {
	found, ok := err.(DeclarationErrors) //nolint:errorlint // compileOn returns DeclarationErrors unwrapped
	if !ok {
		return append(errs, &DeclarationError{Kind: Syntax, Value: err.Error()})
	}
	seen := map[DeclarationError]bool{}
	for _, p := range errs {
		seen[*p] = true
	}
	for _, p := range found {
		if !seen[*p] {
			errs = append(errs, p)
		}
	}
	return errs
}
