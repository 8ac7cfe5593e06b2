package query

import (
	"encoding/json"
	"maps"
	"slices"
	"strconv"

	v1 "github.com/kestrelstream/kestrelstream/internal/api/v1"
	"github.com/kestrelstream/kestrelstream/internal/resource"
)

// secretValuePath is the field whose values are masked.
const secretValuePath = "spec.value"

// FieldChanges lists the fields in which two contents of a resource differ;
// nil stands for no resource. Secret values are masked, and a change of one is
// listed all the same.
func FieldChanges(before, after *resource.Resource) []v1.FieldChange {
	old, current := flatten(before), flatten(after)
	paths := maps.Clone(old)
	maps.Copy(paths, current)
	var changes []v1.FieldChange
	for _, path := range slices.Sorted(maps.Keys(paths)) {
		if old[path] != current[path] {
			changes = append(changes, masked(before, after, v1.FieldChange{Path: path, Before: old[path], After: current[path]}))
		}
	}
	return changes
}

func masked(before, after *resource.Resource, change v1.FieldChange) v1.FieldChange {
	isSecret := before != nil && before.Secret != nil || after != nil && after.Secret != nil
	if !isSecret || change.Path != secretValuePath {
		return change
	}
	return v1.FieldChange{Path: change.Path, Before: mask(change.Before), After: mask(change.After)}
}

func mask(value string) string {
	if value == "" {
		return ""
	}
	return strconv.Quote(resource.MaskedValue)
}

// flatten returns the labels and the fields of the spec by path, each encoded
// as JSON.
func flatten(r *resource.Resource) map[string]string {
	fields := map[string]string{}
	if r == nil {
		return fields
	}
	for name, value := range r.Metadata.Labels {
		fields["metadata.labels."+name] = strconv.Quote(value)
	}
	encoded, err := json.Marshal(r)
	if err != nil {
		panic("query: a resource always encodes: " + err.Error())
	}
	var document struct {
		Spec any `json:"spec"`
	}
	if err := json.Unmarshal(encoded, &document); err != nil {
		panic("query: an encoded resource always decodes: " + err.Error())
	}
	flattenValue(fields, "spec", document.Spec)
	return fields
}

func flattenValue(fields map[string]string, path string, value any) {
	switch typed := value.(type) {
	case map[string]any:
		for name, item := range typed {
			flattenValue(fields, path+"."+name, item)
		}
	case []any:
		for index, item := range typed {
			flattenValue(fields, path+"["+strconv.Itoa(index)+"]", item)
		}
	default:
		encoded, err := json.Marshal(value)
		if err != nil {
			panic("query: a decoded value always encodes: " + err.Error())
		}
		fields[path] = string(encoded)
	}
}
