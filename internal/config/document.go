package config

import (
	"encoding/json"
	"errors"
	"reflect"
	"regexp"
	"strconv"

	"go.yaml.in/yaml/v3"
)

// maxDepth bounds the nesting of a declaration. The schema nests less deeply.
const maxDepth = 32

// document is one parsed file: its content as JSON and the line of each field.
type document struct {
	file string
	json []byte
	// lines maps field paths to line numbers, from 1.
	lines map[string]int
}

// documentKind is the kind of a file: base file or overlay. Its values equal those of the struct tag
// scope.
type documentKind string

const (
	baseKind    documentKind = "base"
	overlayKind documentKind = "site"
)

// parseDocument parses one YAML file. It rejects whatever the declaration's types don't allow.
func parseDocument(file string, data []byte, k documentKind) (*document, DeclarationErrors) {
	doc := &document{file: file, json: []byte("{}"), lines: map[string]int{}}
	var root yaml.Node
	if err := yaml.Unmarshal(data, &root); err != nil {
		return doc, DeclarationErrors{syntaxError(file, err)}
	}
	if len(root.Content) == 0 {
		return doc, nil
	}
	d := &yamlDecoder{doc: doc, kind: k}
	value := d.decodeValue(root.Content[0], reflect.TypeFor[Declaration](), "", 0)
	if len(d.errs) > 0 {
		return doc, d.errs
	}
	encoded, err := json.Marshal(value)
	if err != nil {
		return doc, DeclarationErrors{{Kind: Syntax, File: file, Value: err.Error()}}
	}
	doc.json = encoded
	return doc, nil
}

var yamlLinePattern = regexp.MustCompile(`line (\d+)`)

func syntaxError(file string, err error) *DeclarationError {
	e := &DeclarationError{Kind: Syntax, File: file, Value: err.Error(), Want: "YAML"}
	var typeErr *yaml.TypeError
	if errors.As(err, &typeErr) && len(typeErr.Errors) > 0 {
		e.Value = typeErr.Errors[0]
	}
	if m := yamlLinePattern.FindStringSubmatch(e.Value); m != nil {
		e.Line, _ = strconv.Atoi(m[1])
	}
	return e
}
