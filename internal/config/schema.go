package config

import (
	"encoding/json"

	"github.com/invopop/jsonschema"
)

//go:generate go run ./schemagen ../../docs/schema/bilberryline.schema.json

// SchemaID is the URL at which the JSON Schema is published.
const SchemaID = "https://raw.githubusercontent.com/bilberryline/bilberryline/main/docs/schema/bilberryline.schema.json"

// Schema returns the JSON Schema of base files and overlays, for editors. sources is the folder of this
// package's source files, whose comments become the schema's descriptions. Values may be null because
// overlays remove entries by null.
func Schema(module, sources string) ([]byte, error) {
	r := &jsonschema.Reflector{ExpandedStruct: true}
	if err := r.AddGoComments(module, sources); err != nil {
		return nil, err
	}
	schema := r.Reflect(&Declaration{})
	schema.ID = SchemaID
	schema.Title = "bilberryline configuration"
	allowNull(schema)
	for _, definition := range schema.Definitions {
		allowNull(definition)
	}
	data, err := json.MarshalIndent(schema, "", "  ")
	if err != nil {
		return nil, err
	}
	return append(data, '\n'), nil
}

// allowNull allows null for each property and for each entry of a map.
func allowNull(s *jsonschema.Schema) {
	for pair := s.Properties.Oldest(); pair != nil; pair = pair.Next() {
		if entries := pair.Value.AdditionalProperties; entries != nil {
			pair.Value.AdditionalProperties = orNull(entries)
		}
		description := pair.Value.Description
		pair.Value.Description = ""
		pair.Value = orNull(pair.Value)
		pair.Value.Description = description
	}
}

func orNull(s *jsonschema.Schema) *jsonschema.Schema {
	return &jsonschema.Schema{AnyOf: []*jsonschema.Schema{s, {Type: "null"}}}
}
