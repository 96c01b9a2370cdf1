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

// Tree holds the declaration of all sites: the base file and the overlays of the sites that have one.
type Tree struct {
	Base []byte
	// Overlays maps sites to their overlays.
	Overlays map[string][]byte
}

// ReadTree reads base.yaml and all sites/NAME.yaml of a folder. The error is of type DeclarationErrors.
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

// Compile builds the snapshot of one site. The snapshot of a site without an overlay is built from the
// base file alone.
func (t *Tree) Compile(site string) (*Snapshot, error) {
	return Compile(t.Base, t.Overlays[site], site)
}

// CompileAll checks the base file alone and with each overlay. It returns the snapshots by site, for
// each declared data centre and each overlay. If there are none of these, it returns the snapshot of
// the base file under the empty name. The returned DeclarationErrors are those of all sites.
func (t *Tree) CompileAll() (map[string]*Snapshot, error) {
	base, errs := parseDocument(baseFile, t.Base, baseKind)
	if len(errs) > 0 {
		return nil, errs
	}
	baseSnapshot, err := compileOn(base, "", nil, "")
	if err != nil {
		return nil, err
	}
	snapshots := map[string]*Snapshot{}
	for _, region := range baseSnapshot.Regions {
		for _, site := range region.Sites {
			snapshots[site] = nil
		}
	}
	errs = t.addOverlaySites(baseSnapshot, snapshots)
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
		snapshots[""] = baseSnapshot
	}
	return snapshots, nil
}

// compileResult is the result of compiling one site.
type compileResult struct {
	snapshot *Snapshot
	err      error
}

// compileSites compiles up to GOMAXPROCS sites concurrently. The results are in the order of sites.
func (t *Tree) compileSites(base *document, sites []string) []compileResult {
	results := make([]compileResult, len(sites))
	semaphore := make(chan struct{}, runtime.GOMAXPROCS(0))
	var group sync.WaitGroup
	for i, site := range sites {
		semaphore <- struct{}{}
		group.Go(func() {
			defer func() { <-semaphore }()
			results[i].snapshot, results[i].err = compileOn(base, siteFile(site), t.Overlays[site], site)
		})
	}
	group.Wait()
	return results
}

// addOverlaySites adds the sites of the overlays to sites. If the base file declares regions, it returns
// an error for each overlay of an undeclared data centre instead.
func (t *Tree) addOverlaySites(baseSnapshot *Snapshot, sites map[string]*Snapshot) DeclarationErrors {
	var errs DeclarationErrors
	for _, site := range sortedKeys(t.Overlays) {
		_, known := sites[site]
		if !known && len(baseSnapshot.Regions) > 0 {
			errs = append(errs, &DeclarationError{Kind: UnknownName, File: siteFile(site), Value: site, Want: "the name of a declared data centre"})
			continue
		}
		sites[site] = nil
	}
	return errs
}

// appendNew appends the errors in err that errs doesn't contain yet.
func appendNew(errs DeclarationErrors, err error) DeclarationErrors {
	found, ok := err.(DeclarationErrors) //nolint:errorlint // compileOn returns DeclarationErrors unwrapped
	if !ok {
		return append(errs, &DeclarationError{Kind: Syntax, Value: err.Error()})
	}
	seen := map[DeclarationError]bool{}
	for _, e := range errs {
		seen[*e] = true
	}
	for _, e := range found {
		if !seen[*e] {
			errs = append(errs, e)
		}
	}
	return errs
}
