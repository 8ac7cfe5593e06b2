package resource

import "fmt"

// Records of the log and messages between own processes are decoded leniently,
// so that a newer peer is understood. What follows makes sure that nothing is
// missing that the code relies on.

// MalformedError says that a decoded record lacks something.
type MalformedError struct {
	// Field is the path of what is missing or not known.
	Field  string
	Reason string
}

// Error gives the field and the reason.
func (e *MalformedError) Error() string { return e.Field + ": " + e.Reason }

// Within returns the error with its field below another.
func (e *MalformedError) Within(field string) *MalformedError {
	return &MalformedError{Field: field + "." + e.Field, Reason: e.Reason}
}

// WellFormed reports a resource without the content of its kind.
func (r *Resource) WellFormed() *MalformedError {
	if r == nil {
		return &MalformedError{Field: "resource", Reason: "is missing"}
	}
	var present bool
	switch r.Kind {
	case KindService:
		present = r.Service != nil
	case KindRoute:
		present = r.Route != nil
	case KindSecret:
		present = r.Secret != nil
	case KindPlacement:
		present = r.Placement != nil
	}
	if !present {
		return &MalformedError{Field: "resource.spec", Reason: fmt.Sprintf("is missing for kind %q", r.Kind)}
	}
	return nil
}

// WellFormed reports a change that can't be carried out.
func (c Change) WellFormed() *MalformedError {
	switch c.Action {
	case ActionPut:
		return c.Resource.WellFormed()
	case ActionDelete:
		return nil
	default:
		return &MalformedError{Field: "action", Reason: fmt.Sprintf("%q is not known", c.Action)}
	}
}

// WellFormed reports the first change of an entry that can't be carried out.
func (e Entry) WellFormed() *MalformedError {
	for index, batch := range e.Batches {
		for position, change := range batch.Changes {
			if fault := change.WellFormed(); fault != nil {
				return fault.Within(fmt.Sprintf("batches[%d].changes[%d]", index, position))
			}
		}
	}
	return nil
}
