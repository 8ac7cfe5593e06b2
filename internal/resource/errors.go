package resource

import (
	"fmt"
	"slices"
	"strings"
)

// FieldError says what is wrong with one field of one resource. It never
// carries the value of a secret.
type FieldError struct {
	// Index is the position of the resource in its batch or input, from zero.
	Index int `json:"index"`
	// Kind and Name identify the resource as far as they could be read.
	Kind Kind   `json:"kind,omitempty"`
	Name string `json:"name,omitempty"`
	// Path is the field, such as spec.endpoints[2].address.
	Path string `json:"path"`
	// Reason says what the field must be.
	Reason string `json:"reason"`
}

// Error names the resource, the field and the reason.
func (e FieldError) Error() string {
	var text strings.Builder
	fmt.Fprintf(&text, "resource %d", e.Index)
	if e.Kind != "" || e.Name != "" {
		fmt.Fprintf(&text, " (%s/%s)", e.Kind, e.Name)
	}
	fmt.Fprintf(&text, ": %s: %s", e.Path, e.Reason)
	return text.String()
}

// RejectionError lists everything that is wrong with a batch. Nothing of the
// batch takes effect.
type RejectionError struct {
	Fields []FieldError `json:"fields"`
}

// Error joins the field errors.
func (e *RejectionError) Error() string {
	texts := make([]string, 0, len(e.Fields))
	for _, field := range e.Fields {
		texts = append(texts, field.Error())
	}
	return strings.Join(texts, "; ")
}

// VersionConflict is one precondition that did not hold.
type VersionConflict struct {
	Key Key `json:"key"`
	// Want is the version the request named; zero means that the resource
	// must not exist.
	Want uint64 `json:"want"`
	// Have is the resource's version; zero means that it does not exist.
	Have uint64 `json:"have"`
}

// ConflictError lists the preconditions of a batch that did not hold. Nothing
// of the batch takes effect.
type ConflictError struct {
	Conflicts []VersionConflict `json:"conflicts"`
}

// Error names each resource with the version asked for and the one it has.
func (e *ConflictError) Error() string {
	texts := make([]string, 0, len(e.Conflicts))
	for _, conflict := range e.Conflicts {
		texts = append(texts, fmt.Sprintf("%s: version %d was expected, it has %s",
			conflict.Key, conflict.Want, describeVersion(conflict.Have)))
	}
	return strings.Join(texts, "; ")
}

func describeVersion(version uint64) string {
	if version == 0 {
		return "none (the resource does not exist)"
	}
	return fmt.Sprintf("version %d", version)
}

// problems collects the field errors of one resource.
type problems struct {
	index  int
	key    Key
	fields []FieldError
}

func (p *problems) addf(path, format string, arguments ...any) {
	p.fields = append(p.fields, FieldError{
		Index: p.index, Kind: p.key.Kind, Name: p.key.Name,
		Path: path, Reason: fmt.Sprintf(format, arguments...),
	})
}

// maximumFieldErrors bounds the faults that one rejection lists.
const maximumFieldErrors = 100

// rejection returns the collected errors as one, or nil.
func rejection(fields []FieldError) error {
	if len(fields) == 0 {
		return nil
	}
	if omitted := len(fields) - maximumFieldErrors; omitted > 0 {
		summary := FieldError{Index: fields[maximumFieldErrors].Index, Path: "$", Reason: fmt.Sprintf("and %d more faults", omitted)}
		fields = append(slices.Clone(fields[:maximumFieldErrors]), summary)
	}
	return &RejectionError{Fields: fields}
}
