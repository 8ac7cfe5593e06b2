package resource

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"

	"go.yaml.in/yaml/v3"
)

// MaximumDocuments bounds how many resources one input may hold.
const MaximumDocuments = MaximumChanges

// DecodeDocuments reads resources from YAML, one or more documents, or from
// JSON, one or more objects. Decoding is strict: unknown fields, wrong types
// and duplicate keys are errors. Empty documents are skipped. The error is a
// *RejectionError that lists every fault found.
func DecodeDocuments(data []byte) ([]*Resource, error) {
	documents, err := parseDocuments(data)
	if err != nil {
		return nil, err
	}
	resources := make([]*Resource, 0, len(documents))
	var fields []FieldError
	for index, document := range documents {
		decoded, faults := decodeDocument(index, document)
		resources = append(resources, decoded)
		fields = append(fields, faults...)
	}
	if len(fields) > 0 {
		return nil, rejection(fields)
	}
	return resources, nil
}

// DecodeJSON reads exactly one resource from JSON, as strictly as
// DecodeDocuments.
func DecodeJSON(data []byte) (*Resource, error) {
	return DecodeJSONAt(0, data)
}

// DecodeJSONAt is DecodeJSON for the resource at a position of a batch.
func DecodeJSONAt(index int, data []byte) (*Resource, error) {
	documents, err := parseJSON(data)
	if err != nil {
		return nil, syntaxError(index, err)
	}
	if len(documents) != 1 {
		return nil, rejection([]FieldError{{Index: index, Path: "$", Reason: "must be exactly one JSON object"}})
	}
	decoded, faults := decodeDocument(index, documents[0])
	if len(faults) > 0 {
		return nil, rejection(faults)
	}
	return decoded, nil
}

func parseDocuments(data []byte) ([]any, error) {
	documents, err := parseEither(data)
	if err != nil {
		return nil, syntaxError(len(documents), err)
	}
	if len(documents) > MaximumDocuments {
		return nil, rejection([]FieldError{{Path: "$", Reason: "holds too many resources"}})
	}
	return documents, nil
}

// parseEither takes what begins with a brace for JSON, or else for YAML in flow
// style.
func parseEither(data []byte) ([]any, error) {
	if !bytes.HasPrefix(bytes.TrimSpace(data), []byte("{")) {
		return parseYAML(data)
	}
	documents, err := parseJSON(data)
	if err == nil {
		return documents, nil
	}
	if flow, flowError := parseYAML(data); flowError == nil {
		return flow, nil
	}
	return documents, err
}

func syntaxError(index int, err error) error {
	return rejection([]FieldError{{Index: index, Path: "$", Reason: "cannot be parsed: " + err.Error()}})
}

func parseJSON(data []byte) ([]any, error) {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber()
	var documents []any
	for {
		document, err := parseJSONValue(decoder, 0)
		if errors.Is(err, io.EOF) {
			return documents, nil
		}
		if err != nil {
			return documents, err
		}
		documents = append(documents, document)
	}
}

func parseYAML(data []byte) ([]any, error) {
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	var documents []any
	for {
		var document any
		err := decoder.Decode(&document)
		if errors.Is(err, io.EOF) {
			return documents, nil
		}
		if err != nil {
			return documents, err
		}
		if document != nil {
			documents = append(documents, document)
		}
	}
}

// document is the outer form of a resource; the spec is decoded once the kind
// is known.
type document struct {
	APIVersion string   `json:"apiVersion"`
	Kind       Kind     `json:"kind"`
	Metadata   Metadata `json:"metadata"`
	Spec       any      `json:"spec"`
}

func decodeDocument(index int, parsed any) (*Resource, []FieldError) {
	found := &problems{index: index}
	var outer document
	found.key = identify(parsed)
	decodeStrict(found, "", parsed, &outer)
	if outer.APIVersion != APIVersion && len(found.fields) == 0 {
		found.addf("apiVersion", "must be %q", APIVersion)
	}
	decoded := &Resource{Kind: outer.Kind, Metadata: outer.Metadata}
	spec := decoded.allocateSpec()
	switch {
	case spec != nil && outer.Spec == nil:
		found.addf("spec", "is missing")
	case spec != nil:
		decodeStrict(found, "spec", outer.Spec, spec)
	case len(found.fields) == 0:
		found.addf("kind", "must be one of Secret, Service, Placement, Route")
	}
	return decoded, found.fields
}

// identify reads kind and name for error messages, as far as they are there.
func identify(parsed any) Key {
	fields, _ := parsed.(map[string]any)
	metadata, _ := fields["metadata"].(map[string]any)
	kind, _ := fields["kind"].(string)
	name, _ := metadata["name"].(string)
	return Key{Kind: Kind(shorten(kind)), Name: shorten(name)}
}

// shorten keeps a name from outside short enough for an error message.
func shorten(text string) string {
	const longest = 80
	if len(text) > longest {
		return text[:longest] + "..."
	}
	return text
}
