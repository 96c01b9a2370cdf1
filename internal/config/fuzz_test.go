package config

import (
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"testing"
)

// mergeReference implements the algorithm of RFC 7396, section 2, literally. It is the reference model
// for merge.
func mergeReference(target, patch any) any {
	fields, isObject := patch.(map[string]any)
	if !isObject {
		return patch
	}
	out, isObject := target.(map[string]any)
	if !isObject {
		out = map[string]any{}
	}
	for name, value := range fields {
		if value == nil {
			delete(out, name)
			continue
		}
		out[name] = mergeReference(out[name], value)
	}
	return out
}

// FuzzCompile checks that no input panics, that every error is a DeclarationErrors, that an accepted
// merge equals that of the reference model, and that the canonical form compiles to the same snapshot.
func FuzzCompile(f *testing.F) {
	f.Add(exampleBase(), []byte("callers: {tablet: null}"))
	f.Add([]byte("apiVersion: bilberryline/v1"), []byte(""))
	f.Add([]byte("services: {a: {notRunStatus: [503, null]}}"), []byte("services: {a: {routes: {b: {deadline: -1s}}}}"))
	for _, name := range []string{"potcoava", "pinselwerk"} {
		data, err := os.ReadFile(filepath.Join(examples, name, "base.yaml"))
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data, []byte("services: null"))
	}
	f.Fuzz(func(t *testing.T, base, overlay []byte) {
		s, err := Compile(base, overlay, "fuzz")
		var errs DeclarationErrors
		if err != nil && (!errors.As(err, &errs) || len(errs) == 0) {
			t.Fatalf("error is not a non-empty DeclarationErrors: %v", err)
		}
		if err != nil {
			return
		}
		s.Match("GET", "host:1", "/a/b")
		checkMerge(t, base, overlay)
		checkCanonical(t, s, base, overlay)
	})
}

// checkMerge verifies that merge equals the reference model.
func checkMerge(t *testing.T, base, overlay []byte) {
	t.Helper()
	baseDoc, _ := parseDocument("base", base, baseKind)
	overlayDoc, _ := parseDocument("overlay", overlay, overlayKind)
	got, errs := merge(baseDoc, overlayDoc)
	if len(errs) > 0 {
		t.Fatal(errs)
	}
	var target, patch any
	_ = json.Unmarshal(baseDoc.json, &target)
	_ = json.Unmarshal(overlayDoc.json, &patch)
	data, _ := json.Marshal(mergeReference(target, patch))
	want := &Declaration{}
	if err := json.Unmarshal(data, want); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got.declaration, want) {
		t.Fatalf("merge differs from RFC 7396: %s", data)
	}
}

// checkCanonical verifies that the canonical form compiles to want and is its own canonical form.
func checkCanonical(t *testing.T, want *Snapshot, base, overlay []byte) {
	t.Helper()
	tree := &Tree{Base: base, Overlays: map[string][]byte{"fuzz": overlay}}
	canonical, err := tree.Canonical()
	if err != nil {
		t.Fatal(err)
	}
	got, err := canonical.CompileCanonical("fuzz")
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got, want) {
		t.Fatal("the canonical form compiles to a different snapshot")
	}
	again, err := canonical.Canonical()
	if err != nil || !reflect.DeepEqual(again, canonical) {
		t.Fatalf("the canonical form is not stable: %v", err)
	}
}
