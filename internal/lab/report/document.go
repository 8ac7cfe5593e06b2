package report

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/gravitational/trace"
)

// maximumDocuments bounds the results taken from one file.
const maximumDocuments = 50

// Document is one result, whichever command made it. The page shows results of
// many commands and of later versions of them, so it knows shapes (spreads of
// durations, fitted lines, points) and not every command's fields.
type Document struct {
	Name   string
	Fields []Field
	// Spreads in milliseconds and fits are plotted.
	Spreads []Spread
	Fits    []Fit
	// Points of a sweep, plotted against each other.
	Points []Point
	// Table is a table as read, its first row the column names.
	Table [][]string
}

// Field is one plain value; Path names it from the top.
type Field struct {
	Path  string
	Value string
}

// Spread is a distribution of durations, in milliseconds.
type Spread struct {
	Path          string
	P50, P99, Max float64
}

// Fit is a line fitted to measurements.
type Fit struct {
	Name, Per   string
	Slope, Base float64
	X, Y        []float64
}

// Point is one run of a sweep.
type Point struct {
	// Group names the variants that belong together; may be empty.
	Group string
	// Bytes is the control traffic, in bytes per node and second.
	Bytes float64
	// ConvergenceMS is the 99th percentile.
	ConvergenceMS float64
}

// ReadDocuments reads the results of one file: an object, a list of objects or
// one object a line.
func ReadDocuments(name string, content []byte) ([]Document, error) {
	decoder := json.NewDecoder(bytes.NewReader(content))
	decoder.UseNumber()
	var values []any
	for {
		var value any
		err := decoder.Decode(&value)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return nil, trace.BadParameter("result %d is not JSON: %v", len(values)+1, err)
		}
		if list, isList := value.([]any); isList {
			values = append(values, list...)
			continue
		}
		values = append(values, value)
	}
	if len(values) == 0 {
		return nil, trace.BadParameter("holds no result")
	}
	return documents(name, values)
}

func documents(name string, values []any) ([]Document, error) {
	var found []Document
	if points := pointsOf(values); len(points) > 1 {
		found = append(found, Document{Name: name, Points: points})
	}
	for index, value := range values[:min(len(values), maximumDocuments)] {
		object, isObject := value.(map[string]any)
		if !isObject {
			return nil, trace.BadParameter("result %d is not an object", index+1)
		}
		document := Document{Name: name}
		if len(values) > 1 {
			document.Name = fmt.Sprintf("%s, result %d of %d", name, index+1, len(values))
		}
		document.walk("", object)
		found = append(found, document)
	}
	return found, nil
}

// walk takes in an object: known shapes are plotted, plain values listed.
func (d *Document) walk(path string, object map[string]any) {
	if spread, isSpread := spreadOf(path, object); isSpread {
		d.Spreads = append(d.Spreads, spread)
	}
	if fit, isFit := fitOf(object); isFit {
		d.Fits = append(d.Fits, fit)
		return
	}
	for _, key := range slices.Sorted(maps.Keys(object)) {
		d.take(join(path, key), object[key])
	}
}

func (d *Document) take(path string, value any) {
	switch typed := value.(type) {
	case map[string]any:
		d.walk(path, typed)
	case []any:
		d.takeList(path, typed)
	case nil:
	default:
		d.Fields = append(d.Fields, Field{Path: path, Value: fmt.Sprint(typed)})
	}
}

func (d *Document) takeList(path string, list []any) {
	if points := pointsOf(list); len(points) > 1 {
		d.Points = points
	}
	for index, element := range list[:min(len(list), maximumDocuments)] {
		d.take(join(path, strconv.Itoa(index+1)), element)
	}
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// number reads a numeric field.
func number(object map[string]any, key string) (float64, bool) {
	text, isNumber := object[key].(json.Number)
	if !isNumber {
		return 0, false
	}
	value, err := text.Float64()
	return value, err == nil
}

// secondsKey marks spreads whose values are seconds.
const secondsKey = "seconds"

// spreadOf recognises the two shapes of spreads: in milliseconds, with keys
// that say so, and in seconds, under a key that says so.
func spreadOf(path string, object map[string]any) (Spread, bool) {
	for _, shape := range []struct {
		suffix string
		factor float64
		fits   bool
	}{{"_ms", 1, true}, {"", 1000, strings.Contains(path, secondsKey)}} {
		median, hasMedian := number(object, "p50"+shape.suffix)
		high, hasHigh := number(object, "p99"+shape.suffix)
		highest, hasHighest := number(object, "max"+shape.suffix)
		if shape.fits && hasMedian && hasHigh && hasHighest {
			return Spread{path, median * shape.factor, high * shape.factor, highest * shape.factor}, true
		}
	}
	return Spread{}, false
}

func fitOf(object map[string]any) (Fit, bool) {
	slope, hasSlope := number(object, "slope")
	base, hasBase := number(object, "base")
	x, y := numbers(object["x"]), numbers(object["y"])
	if !hasSlope || !hasBase || len(x) == 0 || len(x) != len(y) {
		return Fit{}, false
	}
	name, _ := object["name"].(string)
	per, _ := object["per"].(string)
	return Fit{Name: name, Per: per, Slope: slope, Base: base, X: x, Y: y}, true
}

func numbers(value any) []float64 {
	list, _ := value.([]any)
	var found []float64
	for _, element := range list {
		text, isNumber := element.(json.Number)
		if !isNumber {
			return nil
		}
		parsed, err := text.Float64()
		if err != nil {
			return nil
		}
		found = append(found, parsed)
	}
	return found
}

// pointsOf returns the runs among values that carry both convergence and
// control traffic.
func pointsOf(values []any) []Point {
	var points []Point
	for _, value := range values {
		object, isObject := value.(map[string]any)
		if !isObject {
			continue
		}
		if inner, nested := object["result"].(map[string]any); nested {
			object = inner
		}
		convergence, _ := object["convergence_seconds"].(map[string]any)
		rate, _ := object["control_bytes_per_node_second"].(map[string]any)
		seconds, hasSeconds := number(convergence, "p99")
		bytesPerSecond, hasBytes := number(rate, "mean")
		if hasSeconds && hasBytes {
			points = append(points, Point{Bytes: bytesPerSecond, ConvergenceMS: 1000 * seconds})
		}
	}
	return points
}
