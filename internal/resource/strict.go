package resource

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"
)

// decodeStrict stores a parsed YAML or JSON value in the target pointer. Every
// fault is recorded with the path of its field; no fault quotes a value, since
// the value may be a secret.
func decodeStrict(found *problems, path string, value any, target any) {
	assign(found, path, value, reflect.ValueOf(target).Elem())
}

func assign(found *problems, path string, value any, target reflect.Value) {
	if value == nil {
		return
	}
	if target.Type() == reflect.TypeFor[Duration]() {
		assignDuration(found, path, value, target)
		return
	}
	switch target.Kind() {
	case reflect.Interface:
		target.Set(reflect.ValueOf(value))
	case reflect.Pointer:
		target.Set(reflect.New(target.Type().Elem()))
		assign(found, path, value, target.Elem())
	case reflect.Struct:
		assignStruct(found, path, value, target)
	case reflect.Slice:
		assignSlice(found, path, value, target)
	case reflect.Map:
		assignMap(found, path, value, target)
	case reflect.String:
		assignString(found, path, value, target)
	case reflect.Int, reflect.Uint64:
		assignNumber(found, path, value, target)
	default:
		panic("resource: no strict decoding for type " + target.Type().String())
	}
}

func assignStruct(found *problems, path string, value any, target reflect.Value) {
	object, ok := value.(map[string]any)
	if !ok {
		found.addf(orRoot(path), "must be a mapping, not %s", describeType(value))
		return
	}
	fields := fieldsByName(target.Type())
	for _, name := range sortedKeys(object) {
		index, known := fields[name]
		if !known {
			found.addf(join(path, shorten(name)), "is not a known field")
			continue
		}
		assign(found, join(path, name), object[name], target.Field(index))
	}
}

func assignSlice(found *problems, path string, value any, target reflect.Value) {
	array, ok := value.([]any)
	if !ok {
		found.addf(path, "must be a list, not %s", describeType(value))
		return
	}
	target.Set(reflect.MakeSlice(target.Type(), len(array), len(array)))
	for position, item := range array {
		itemPath := fmt.Sprintf("%s[%d]", path, position)
		if item == nil {
			found.addf(itemPath, "must not be empty")
			continue
		}
		assign(found, itemPath, item, target.Index(position))
	}
}

func assignMap(found *problems, path string, value any, target reflect.Value) {
	object, ok := value.(map[string]any)
	if !ok {
		found.addf(path, "must be a mapping of strings, not %s", describeType(value))
		return
	}
	target.Set(reflect.MakeMapWithSize(target.Type(), len(object)))
	for _, name := range sortedKeys(object) {
		text, isText := object[name].(string)
		if !isText {
			found.addf(join(path, shorten(name)), "must be a string, not %s", describeType(object[name]))
			continue
		}
		target.SetMapIndex(reflect.ValueOf(name), reflect.ValueOf(text))
	}
}

func assignString(found *problems, path string, value any, target reflect.Value) {
	text, ok := value.(string)
	if !ok {
		found.addf(path, "must be a string, not %s", describeType(value))
		return
	}
	target.SetString(text)
}

func assignNumber(found *problems, path string, value any, target reflect.Value) {
	text, ok := integerText(value)
	if !ok {
		found.addf(path, "must be a whole number, not %s", describeType(value))
		return
	}
	var err error
	if target.Kind() == reflect.Int {
		var number int64
		number, err = strconv.ParseInt(text, 10, 64)
		target.SetInt(number)
	} else {
		var number uint64
		number, err = strconv.ParseUint(text, 10, 64)
		target.SetUint(number)
	}
	if err != nil {
		found.addf(path, "must be a whole number within range")
	}
}

func integerText(value any) (string, bool) {
	switch number := value.(type) {
	case json.Number:
		return number.String(), !strings.ContainsAny(number.String(), ".eE")
	case int, int64, uint64:
		return fmt.Sprint(number), true
	default:
		return "", false
	}
}

func assignDuration(found *problems, path string, value any, target reflect.Value) {
	text, ok := value.(string)
	if !ok {
		found.addf(path, "must be a duration such as \"250ms\", not %s", describeType(value))
		return
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		found.addf(path, "must be a duration such as \"250ms\" or \"2s\"")
		return
	}
	target.SetInt(int64(parsed))
}

// fieldsByName maps the JSON names of a struct's fields to their positions.
func fieldsByName(structType reflect.Type) map[string]int {
	fields := make(map[string]int, structType.NumField())
	for index := range structType.NumField() {
		name, _, _ := strings.Cut(structType.Field(index).Tag.Get("json"), ",")
		fields[name] = index
	}
	return fields
}

func sortedKeys(object map[string]any) []string {
	keys := make([]string, 0, len(object))
	for key := range object {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func orRoot(path string) string {
	if path == "" {
		return "$"
	}
	return path
}

func describeType(value any) string {
	switch value.(type) {
	case nil:
		return "empty"
	case bool:
		return "a boolean"
	case string:
		return "a string"
	case json.Number, int, int64, uint64, float64:
		return "a number"
	case []any:
		return "a list"
	case map[string]any:
		return "a mapping"
	case time.Time:
		return "a date (quote it)"
	default:
		return "a mapping whose keys are not strings"
	}
}
