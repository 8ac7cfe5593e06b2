package settings

import (
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"

	"sigs.k8s.io/yaml"
)

// FieldError names one field and what is wrong with it.
type FieldError struct {
	Field  string `json:"field"`
	Reason string `json:"reason"`
}

// Error gives the field path and the reason.
func (e FieldError) Error() string { return e.Field + ": " + e.Reason }

// Errors lists everything wrong with the settings.
type Errors []FieldError

// Error lists every field, one a line.
func (e Errors) Error() string {
	lines := make([]string, 0, len(e)+1)
	lines = append(lines, fmt.Sprintf("settings: %d error(s)", len(e)))
	for _, fieldError := range e {
		lines = append(lines, "  "+fieldError.Error())
	}
	return strings.Join(lines, "\n")
}

// document is a settings file before it has types.
type document map[string]any

// parseDocument reads YAML or JSON. A key that stands twice is an error.
func parseDocument(data []byte) (document, error) {
	encoded, err := yaml.YAMLToJSONStrict(data)
	if err != nil {
		return nil, Errors{{Field: "(file)", Reason: err.Error()}}
	}
	parsed := document{}
	if err := json.Unmarshal(encoded, &parsed); err != nil {
		return nil, Errors{{Field: "(file)", Reason: "must be a mapping of settings"}}
	}
	if parsed == nil {
		parsed = document{}
	}
	return parsed, nil
}

// set replaces the field at a dotted path.
func (d document) set(path string, value any) error {
	names := strings.Split(path, ".")
	current := map[string]any(d)
	for index, name := range names[:len(names)-1] {
		child, present := current[name]
		if !present || child == nil {
			child = map[string]any{}
			current[name] = child
		}
		mapping, isMapping := child.(map[string]any)
		if !isMapping {
			return Errors{{Field: strings.Join(names[:index+1], "."), Reason: "is not a mapping"}}
		}
		current = mapping
	}
	current[names[len(names)-1]] = value
	return nil
}

// decoder fills a struct field by field and gathers every error.
type decoder struct {
	errors Errors
}

func (d *decoder) fail(path, reason string) {
	d.errors = append(d.errors, FieldError{Field: path, Reason: reason})
}

func (d *decoder) decode(path string, source any, target reflect.Value) {
	switch target.Kind() {
	case reflect.Struct:
		d.decodeStruct(path, source, target)
	case reflect.Pointer:
		d.decodePointer(path, source, target)
	case reflect.Slice:
		d.decodeSlice(path, source, target)
	default:
		d.decodeLeaf(path, source, target)
	}
}

func (d *decoder) decodeStruct(path string, source any, target reflect.Value) {
	mapping, isMapping := source.(map[string]any)
	if !isMapping {
		d.fail(path, "must be a mapping")
		return
	}
	fields := fieldsByName(target)
	for _, name := range slices.Sorted(maps.Keys(mapping)) {
		field, known := fields[name]
		if !known {
			d.fail(join(path, name), "unknown field")
			continue
		}
		if mapping[name] != nil {
			d.decode(join(path, name), mapping[name], field)
		}
	}
}

func (d *decoder) decodePointer(path string, source any, target reflect.Value) {
	target.Set(reflect.New(target.Type().Elem()))
	d.decode(path, source, target.Elem())
}

func (d *decoder) decodeSlice(path string, source any, target reflect.Value) {
	list, isList := source.([]any)
	if !isList {
		d.fail(path, "must be a list")
		return
	}
	decoded := reflect.MakeSlice(target.Type(), len(list), len(list))
	for index, element := range list {
		d.decode(fmt.Sprintf("%s[%d]", path, index), element, decoded.Index(index))
	}
	target.Set(decoded)
}

func (d *decoder) decodeLeaf(path string, source any, target reflect.Value) {
	encoded, err := json.Marshal(source)
	if err != nil {
		d.fail(path, "cannot be read")
		return
	}
	if err := json.Unmarshal(encoded, target.Addr().Interface()); err != nil {
		d.fail(path, leafReason(err, target))
	}
}

// leafReason never quotes the value: it may be a secret.
func leafReason(err error, target reflect.Value) string {
	if target.Type() == reflect.TypeFor[Duration]() {
		return err.Error()
	}
	return "must be a " + typeName(target.Type())
}

func typeName(kind reflect.Type) string {
	switch kind.Kind() {
	case reflect.Bool:
		return "boolean (true or false)"
	case reflect.Int:
		return "whole number"
	case reflect.Map:
		return "mapping of text to text"
	default:
		return "text"
	}
}

// fieldsByName indexes a struct's fields by their JSON names; embedded
// structs count as if their fields stood in the outer one.
func fieldsByName(target reflect.Value) map[string]reflect.Value {
	fields := map[string]reflect.Value{}
	for index := range target.NumField() {
		described := target.Type().Field(index)
		if described.Anonymous {
			maps.Copy(fields, fieldsByName(target.Field(index)))
			continue
		}
		name, _, _ := strings.Cut(described.Tag.Get("json"), ",")
		fields[name] = target.Field(index)
	}
	return fields
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
