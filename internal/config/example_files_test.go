package config

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
	"github.com/santhosh-tekuri/jsonschema/v6"
	"sigs.k8s.io/yaml"
)

const (
	examples   = "../../examples"
	schemaPath = "../../docs/schema/bilberryline.schema.json"
)

func TestExamplesCompileAtEverySite(t *testing.T) {
	for name, sizes := range map[string][2]int{"potcoava": {25, 12}, "pinselwerk": {20, 12}} {
		is := is.New(t)
		tree, err := ReadTree(filepath.Join(examples, name))
		is.NoErr(err)
		snapshots, err := tree.CompileAll()
		is.NoErr(err)
		is.Equal(len(snapshots), 6)
		for _, s := range snapshots {
			counts := map[int]bool{}
			for _, service := range s.Services {
				counts[len(service.Targets)] = true
			}
			is.Equal(counts, map[int]bool{sizes[0]: true, sizes[1]: true})
		}
	}
}

func TestExamplesMatchThePublishedSchema(t *testing.T) {
	is := is.New(t)
	schema := jsonschema.NewCompiler()
	compiled, err := schema.Compile(schemaPath)
	is.NoErr(err)
	files, err := filepath.Glob(filepath.Join(examples, "*", "*.yaml"))
	is.NoErr(err)
	overlays, err := filepath.Glob(filepath.Join(examples, "*", "sites", "*.yaml"))
	is.NoErr(err)
	is.Equal(len(files)+len(overlays), 14)
	for _, file := range append(files, overlays...) {
		data, err := os.ReadFile(file)
		is.NoErr(err)
		is.NoErr(compiled.Validate(jsonValue(t, data)))
	}
	is.True(compiled.Validate(jsonValue(t, []byte("services: {a: {target: {}}}"))) != nil)
}

// jsonValue converts YAML to a value that the schema validator accepts.
func jsonValue(t *testing.T, data []byte) any {
	t.Helper()
	encoded, err := yaml.YAMLToJSON(data)
	if err != nil {
		t.Fatal(err)
	}
	value, err := jsonschema.UnmarshalJSON(bytes.NewReader(encoded))
	if err != nil {
		t.Fatal(err)
	}
	return value
}

func TestPublishedSchemaIsCurrent(t *testing.T) {
	is := is.New(t)
	data, err := os.ReadFile(schemaPath)
	is.NoErr(err)
	generated, err := Schema("github.com/bilberryline/bilberryline/internal/config", ".")
	is.NoErr(err)
	is.True(json.Valid(data))
	is.Equal(string(data), string(generated))
}
