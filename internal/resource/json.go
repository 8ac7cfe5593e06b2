package resource

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// maximumDepth bounds nesting of JSON input.
const maximumDepth = 32

var errTooDeep = errors.New("nesting is too deep")

// parseJSONValue reads one JSON value. Unlike json.Unmarshal it refuses an
// object that names a field twice, since the reader of the file and the
// program would otherwise disagree on what it says. io.EOF means that there is
// no further value.
func parseJSONValue(decoder *json.Decoder, depth int) (any, error) {
	if depth > maximumDepth {
		return nil, errTooDeep
	}
	token, err := decoder.Token()
	if err != nil {
		return nil, err
	}
	switch token {
	case json.Delim('{'):
		return parseJSONObject(decoder, depth)
	case json.Delim('['):
		return parseJSONArray(decoder, depth)
	default:
		return token, nil
	}
}

func parseJSONObject(decoder *json.Decoder, depth int) (any, error) {
	object := map[string]any{}
	for decoder.More() {
		token, err := decoder.Token()
		if err != nil {
			return nil, unexpectedEnd(err)
		}
		name, isName := token.(string)
		if !isName {
			return nil, errors.New("field names must be strings")
		}
		if _, exists := object[name]; exists {
			return nil, fmt.Errorf("field %q stands twice", shorten(name))
		}
		if object[name], err = parseJSONValue(decoder, depth+1); err != nil {
			return nil, unexpectedEnd(err)
		}
	}
	_, err := decoder.Token()
	return object, unexpectedEnd(err)
}

func parseJSONArray(decoder *json.Decoder, depth int) (any, error) {
	array := []any{}
	for decoder.More() {
		value, err := parseJSONValue(decoder, depth+1)
		if err != nil {
			return nil, unexpectedEnd(err)
		}
		array = append(array, value)
	}
	_, err := decoder.Token()
	return array, unexpectedEnd(err)
}

func unexpectedEnd(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
