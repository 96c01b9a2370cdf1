package config

import (
	"reflect"
	"slices"
	"strings"
	"sync"
)

// field describes one field of a declaration type.
type field struct {
	typ reflect.Type
	// scope is the documentKind that may set the field, or empty when both may.
	scope string
}

// fieldSet describes the fields of one declaration type.
type fieldSet struct {
	byName map[string]field
	// names lists the fields for errors.
	names string
}

var fieldSets sync.Map // reflect.Type to *fieldSet

// fieldsOf returns the fields of t, cached in fieldSets.
func fieldsOf(t reflect.Type) *fieldSet {
	if known, ok := fieldSets.Load(t); ok {
		return known.(*fieldSet)
	}
	set := &fieldSet{byName: map[string]field{}}
	names := make([]string, 0, t.NumField())
	for i := range t.NumField() {
		f := t.Field(i)
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		set.byName[name] = field{typ: f.Type, scope: f.Tag.Get("scope")}
		names = append(names, name)
	}
	slices.Sort(names)
	set.names = "one of " + strings.Join(names, ", ")
	fieldSets.Store(t, set)
	return set
}
