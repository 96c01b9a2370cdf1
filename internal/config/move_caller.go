package config

import (
	"bytes"
	"slices"
	"strings"
	"unicode/utf8"

	"go.yaml.in/yaml/v3"
)

// MoveCaller returns base with the caller's department replaced. It changes only one line and so keeps
// comments and layout. The error is of type DeclarationErrors.
func MoveCaller(base []byte, caller, department string) ([]byte, error) {
	if _, errs := parseDocument(baseFile, base, baseKind); len(errs) > 0 {
		return nil, errs
	}
	var root yaml.Node
	if err := yaml.Unmarshal(base, &root); err != nil {
		return nil, DeclarationErrors{syntaxError(baseFile, err)}
	}
	_, departments := childOf(&root, "departments")
	if _, known := childOf(departments, department); known == nil {
		return nil, unknownNameError("departments."+department, department, "a declared department")
	}
	_, callers := childOf(&root, "callers")
	key, node := childOf(callers, caller)
	if node == nil {
		return nil, unknownNameError("callers."+caller, caller, "a declared caller")
	}
	lines := bytes.SplitAfter(base, []byte("\n"))
	if _, value := childOf(node, "department"); value != nil {
		replaceScalar(lines, value, department)
		return bytes.Join(lines, nil), nil
	}
	return insertField(lines, key, node, "department: "+department)
}

func unknownNameError(path, value, want string) DeclarationErrors {
	return DeclarationErrors{{Kind: UnknownName, File: baseFile, Path: path, Value: value, Want: want}}
}

// childOf returns the key and value nodes of a field, or nil.
func childOf(n *yaml.Node, name string) (key, value *yaml.Node) {
	if n != nil && n.Kind == yaml.DocumentNode && len(n.Content) > 0 {
		n = n.Content[0]
	}
	if n == nil || n.Kind != yaml.MappingNode {
		return nil, nil
	}
	for i := 0; i+1 < len(n.Content); i += 2 {
		if n.Content[i].Value == name {
			return n.Content[i], n.Content[i+1]
		}
	}
	return nil, nil
}

// replaceScalar replaces a scalar that occupies part of one line. value must be a name, which needs no
// quotes.
func replaceScalar(lines [][]byte, old *yaml.Node, value string) {
	line := string(lines[old.Line-1])
	start := byteColumn(line, old.Column)
	end := start + len(old.Value)
	if old.Style&(yaml.DoubleQuotedStyle|yaml.SingleQuotedStyle) != 0 {
		end = start + 1 + strings.IndexByte(line[start+1:], line[start]) + 1
	}
	lines[old.Line-1] = []byte(line[:start] + value + line[end:])
}

// byteColumn converts a column, which counts characters from 1, to a byte offset.
func byteColumn(line string, column int) int {
	offset := 0
	for range column - 1 {
		_, size := utf8.DecodeRuneInString(line[offset:])
		offset += size
	}
	return offset
}

// insertField inserts a line with text as the first field of a block mapping.
func insertField(lines [][]byte, key, node *yaml.Node, text string) ([]byte, error) {
	if node.Style&yaml.FlowStyle != 0 || len(node.Content) == 0 {
		return nil, DeclarationErrors{{
			Kind: BadFormat, File: baseFile, Line: key.Line, Path: "callers." + key.Value,
			Want: "one field a line, to have a department added",
		}}
	}
	first := node.Content[0]
	inserted := strings.Repeat(" ", first.Column-1) + text + "\n"
	return bytes.Join(slices.Insert(lines, key.Line, []byte(inserted)), nil), nil
}
