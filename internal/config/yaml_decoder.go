package config

import (
	"encoding/json"
	"reflect"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"
)

// yamlDecoder checks a YAML tree against Go types and converts it to values that encoding/json can
// marshal. It also fills in the document's line numbers.
type yamlDecoder struct {
	doc  *document
	kind documentKind
	errs DeclarationErrors
}

// report appends e with the file and line of n.
func (d *yamlDecoder) report(e DeclarationError, n *yaml.Node) {
	e.File = d.doc.file
	e.Line = n.Line
	d.errs = append(d.errs, &e)
}

// reportWrongType reports the value of n and returns nil in its place.
func (d *yamlDecoder) reportWrongType(n *yaml.Node, path, want string) any {
	value := n.Value
	if n.Kind == yaml.MappingNode {
		value = "{...}"
	}
	if n.Kind == yaml.SequenceNode {
		value = "[...]"
	}
	d.report(DeclarationError{Kind: WrongType, Path: path, Value: value, Want: want}, n)
	return nil
}

// decodeValue decodes n as a value of type t. path is the field's path.
func (d *yamlDecoder) decodeValue(n *yaml.Node, t reflect.Type, path string, depth int) any {
	if path != "" {
		d.doc.lines[path] = n.Line
	}
	if n.Kind == yaml.AliasNode || n.Anchor != "" {
		return d.reportWrongType(n, path, "a value without YAML anchors and aliases")
	}
	if depth > maxDepth {
		return d.reportWrongType(n, path, "less nesting")
	}
	if n.Kind == yaml.ScalarNode && n.ShortTag() == "!!null" {
		return d.decodeNull(n, path)
	}
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	if t == reflect.TypeFor[Duration]() {
		return d.decodeDuration(n, path)
	}
	switch t.Kind() {
	case reflect.Struct:
		return d.decodeObject(n, t, path, depth)
	case reflect.Map:
		return d.decodeMap(n, t, path, depth)
	case reflect.Slice:
		return d.decodeList(n, t, path, depth)
	default:
		return d.decodeScalar(n, t, path)
	}
}

// decodeNull accepts null in overlays, where it removes an entry, except for the whole document.
func (d *yamlDecoder) decodeNull(n *yaml.Node, path string) any {
	if d.kind == baseKind || path == "" {
		d.report(DeclarationError{Kind: NullInBase, Path: path, Want: "a value; null removes an entry and stands in overlays only"}, n)
	}
	return nil
}

func (d *yamlDecoder) decodeObject(n *yaml.Node, t reflect.Type, path string, depth int) any {
	if n.Kind != yaml.MappingNode {
		return d.reportWrongType(n, path, "a mapping")
	}
	fields := fieldsOf(t)
	out := make(map[string]any, len(n.Content)/2)
	for i := 0; i+1 < len(n.Content); i += 2 {
		key, child := n.Content[i], n.Content[i+1]
		at := joinPath(path, key.Value)
		if !d.checkKey(key, at, out) {
			continue
		}
		f, known := fields.byName[key.Value]
		if !known {
			d.report(DeclarationError{Kind: UnknownField, Path: at, Value: key.Value, Want: fields.names}, key)
			continue
		}
		d.checkScope(key, at, f.scope)
		out[key.Value] = d.decodeValue(child, f.typ, at, depth+1)
	}
	return out
}

// checkScope reports a field that this kind of file must not set.
func (d *yamlDecoder) checkScope(key *yaml.Node, path, scope string) {
	if scope == "" || scope == string(d.kind) {
		return
	}
	if d.kind == baseKind {
		d.report(DeclarationError{Kind: SiteOnly, Path: path, Want: "the field in overlays only"}, key)
		return
	}
	d.report(DeclarationError{Kind: BaseOnly, Path: path, Want: "the field in the base file only"}, key)
}

// checkKey reports whether key is a plain key that is not in seen yet.
func (d *yamlDecoder) checkKey(key *yaml.Node, path string, seen map[string]any) bool {
	if key.Kind != yaml.ScalarNode || key.Value == "" || key.ShortTag() == "!!merge" {
		d.report(DeclarationError{Kind: WrongType, Path: path, Value: key.Value, Want: "a plain key"}, key)
		return false
	}
	if _, duplicate := seen[key.Value]; duplicate {
		d.report(DeclarationError{Kind: DuplicateKey, Path: path, Value: key.Value, Want: "each key once"}, key)
		return false
	}
	return true
}

func (d *yamlDecoder) decodeMap(n *yaml.Node, t reflect.Type, path string, depth int) any {
	if n.Kind != yaml.MappingNode {
		return d.reportWrongType(n, path, "a mapping of names")
	}
	out := make(map[string]any, len(n.Content)/2)
	for i := 0; i+1 < len(n.Content); i += 2 {
		key, child := n.Content[i], n.Content[i+1]
		at := joinPath(path, key.Value)
		if !d.checkKey(key, at, out) {
			continue
		}
		out[key.Value] = d.decodeValue(child, t.Elem(), at, depth+1)
	}
	return out
}

func (d *yamlDecoder) decodeList(n *yaml.Node, t reflect.Type, path string, depth int) any {
	if n.Kind != yaml.SequenceNode {
		return d.reportWrongType(n, path, "a list")
	}
	out := make([]any, 0, len(n.Content))
	for _, child := range n.Content {
		if child.Kind == yaml.ScalarNode && child.ShortTag() == "!!null" {
			d.reportWrongType(child, path, "no null in a list")
			continue
		}
		out = append(out, d.decodeValue(child, t.Elem(), path, depth+1))
	}
	return out
}

func (d *yamlDecoder) decodeDuration(n *yaml.Node, path string) any {
	const want = "a duration such as 250ms or 10s"
	if n.Kind != yaml.ScalarNode || n.ShortTag() != "!!str" {
		return d.reportWrongType(n, path, want)
	}
	if _, err := time.ParseDuration(n.Value); err != nil {
		return d.reportWrongType(n, path, want)
	}
	return n.Value
}

func (d *yamlDecoder) decodeScalar(n *yaml.Node, t reflect.Type, path string) any {
	if n.Kind != yaml.ScalarNode {
		return d.reportWrongType(n, path, "a "+t.Kind().String())
	}
	tag := n.ShortTag()
	switch {
	case t.Kind() == reflect.String && tag == "!!str":
		return n.Value
	case t.Kind() == reflect.Bool && tag == "!!bool":
		return strings.EqualFold(n.Value, "true")
	case t.Kind() == reflect.Float64 && (tag == "!!float" || tag == "!!int"):
		return d.decodeNumber(n, new(float64), path)
	case (t.Kind() == reflect.Int || t.Kind() == reflect.Int64) && tag == "!!int":
		return d.decodeNumber(n, new(int64), path)
	}
	return d.reportWrongType(n, path, "a "+t.Kind().String())
}

func (d *yamlDecoder) decodeNumber(n *yaml.Node, into any, path string) any {
	if err := n.Decode(into); err != nil {
		return d.reportWrongType(n, path, "a number")
	}
	if _, err := json.Marshal(into); err != nil {
		return d.reportWrongType(n, path, "a finite number")
	}
	return into
}

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
