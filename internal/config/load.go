package config

import (
	"os"
	"path/filepath"
	"strings"
)

// LoadFiles reads and compiles the base file and an overlay. overlayPath may be empty. The site is the
// overlay's file name without its extension. The error is of type DeclarationErrors.
func LoadFiles(basePath, overlayPath string) (*Snapshot, error) {
	base, err := readFile(basePath)
	if err != nil {
		return nil, err
	}
	if overlayPath == "" {
		return compileFiles(basePath, base, "", nil, "")
	}
	overlay, err := readFile(overlayPath)
	if err != nil {
		return nil, err
	}
	return compileFiles(basePath, base, overlayPath, overlay, siteOf(overlayPath))
}

// readFile returns the file's content. The content is nil only if there is an error.
func readFile(path string) ([]byte, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, DeclarationErrors{{Kind: Unreadable, File: path, Value: err.Error(), Want: "a readable file"}}
	}
	return data, nil
}

// siteOf returns the site whose overlay is at path.
func siteOf(path string) string {
	name := filepath.Base(path)
	return strings.TrimSuffix(name, filepath.Ext(name))
}

// siteFile returns the path of a site's overlay within a folder.
func siteFile(site string) string { return sitesFolder + "/" + site + fileExtension }
