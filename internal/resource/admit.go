package resource

import (
	"fmt"
	"slices"
)

// MaximumChanges bounds the changes of one batch.
const MaximumChanges = 1000

// MaximumStateBytes bounds the encoded configuration, so that the message that
// carries it whole to a new control daemon stays within the settings' default
// of 16 MiB.
const MaximumStateBytes = 8 << 20

// Admit decides whether a batch may follow a state. It returns the state that
// results, at the next version, or a *RejectionError that lists every fault,
// or a *ConflictError that lists every precondition that does not hold.
func Admit(state *State, batch Batch) (*State, error) {
	admission := NewAdmission(state)
	if err := admission.Admit(batch); err != nil {
		return nil, err
	}
	return admission.Result(), nil
}

// Admission admits several batches, one after the other, into one entry on
// top of a state. It is not safe for concurrent use.
//
// Invariant: every route in the working state names a service and, if any, a
// secret that the working state holds, every placement names a held service,
// and no two routes answer to one request. A projection takes with each route
// the service and secret it names, so the projection for any entitlement class
// is closed.
type Admission struct {
	working *State
	index   referenceIndex
	batches []Batch
}

// NewAdmission starts an entry that follows the state.
func NewAdmission(state *State) *Admission {
	return &Admission{working: state.successor(), index: newReferenceIndex(state)}
}

// Admit takes a batch in whole or leaves the admission as it was.
func (a *Admission) Admit(batch Batch) error {
	if err := ValidateBatch(batch); err != nil {
		return err
	}
	if conflicts := a.unmetPreconditions(batch); len(conflicts) > 0 {
		return &ConflictError{Conflicts: conflicts}
	}
	if fields := a.missingTargets(batch); len(fields) > 0 {
		return rejection(fields)
	}
	size := a.working.size
	undo := a.take(batch)
	if fields := append(a.checkReferences(batch), a.checkSize(size)...); len(fields) > 0 {
		a.restore(undo)
		return rejection(fields)
	}
	a.batches = append(a.batches, batch)
	return nil
}

// Empty reports whether no batch was taken in.
func (a *Admission) Empty() bool { return len(a.batches) == 0 }

// Version returns the version of the entry.
func (a *Admission) Version() uint64 { return a.working.version }

// Entry returns the log entry of the batches taken in.
func (a *Admission) Entry() Entry {
	return Entry{Version: a.working.version, Batches: slices.Clone(a.batches)}
}

// Result returns the state after the entry. The admission must not be used
// afterwards.
func (a *Admission) Result() *State { return a.working }

// ValidateBatch checks a batch by itself, without regard to any state. The
// error is a *RejectionError.
func ValidateBatch(batch Batch) error { return rejection(validateBatch(batch)) }

func validateBatch(batch Batch) []FieldError {
	if len(batch.Changes) == 0 || len(batch.Changes) > MaximumChanges {
		return []FieldError{{Path: "changes", Reason: fmt.Sprintf("must hold 1 to %d changes", MaximumChanges)}}
	}
	var fields []FieldError
	first := make(map[Key]int, len(batch.Changes))
	for index, change := range batch.Changes {
		fields = append(fields, validateChange(index, change)...)
		target := change.Target()
		if earlier, duplicate := first[target]; duplicate {
			fields = append(fields, FieldError{Index: index, Kind: target.Kind, Name: shorten(target.Name),
				Path: "metadata.name", Reason: fmt.Sprintf("is already changed by change %d of this batch", earlier)})
			continue
		}
		first[target] = index
	}
	return fields
}

func validateChange(index int, change Change) []FieldError {
	found := &problems{index: index, key: change.Target()}
	switch {
	case change.Action == ActionPut && change.Key != Key{}:
		found.addf("key", "must not be set in a put")
	case change.Action == ActionDelete && change.Resource != nil:
		found.addf("resource", "must not be set in a delete")
	case change.Action == ActionPut && change.Resource != nil:
		return Validate(index, change.Resource)
	case change.Action == ActionPut:
		found.addf("resource", "is missing")
	case change.Action != ActionDelete:
		found.addf("action", "must be %q or %q", ActionPut, ActionDelete)
	case !slices.Contains(Kinds, change.Key.Kind):
		found.addf("key.kind", "must be one of Secret, Service, Placement, Route")
	default:
		found.checkName("key.name", change.Key.Name)
	}
	return found.fields
}

// precondition returns the version the target must have, if one is named.
func (c Change) precondition() (uint64, bool) {
	if c.IfVersion != nil {
		return *c.IfVersion, true
	}
	if c.Action == ActionPut && c.Resource.Metadata.ResourceVersion != 0 {
		return c.Resource.Metadata.ResourceVersion, true
	}
	return 0, false
}

func (a *Admission) unmetPreconditions(batch Batch) []VersionConflict {
	var conflicts []VersionConflict
	for _, change := range batch.Changes {
		want, named := change.precondition()
		have := a.versionOf(change.Target())
		if named && want != have {
			conflicts = append(conflicts, VersionConflict{Key: change.Target(), Want: want, Have: have})
		}
	}
	return conflicts
}

// missingTargets finds deletions of what is not there.
func (a *Admission) missingTargets(batch Batch) []FieldError {
	found := &problems{}
	for index, change := range batch.Changes {
		if change.Action == ActionDelete && a.working.resources[change.Key] == nil {
			found.index, found.key = index, change.Key
			found.addf("metadata.name", "does not exist")
		}
	}
	return found.fields
}

func (a *Admission) versionOf(key Key) uint64 {
	if held := a.working.resources[key]; held != nil {
		return held.Metadata.ResourceVersion
	}
	return 0
}

// undoStep is what stood under a key before a batch was taken; nil means that
// nothing did.
type undoStep struct {
	key      Key
	previous *Resource
}

func (a *Admission) take(batch Batch) []undoStep {
	undo := make([]undoStep, 0, len(batch.Changes))
	for _, change := range batch.Changes {
		key := change.Target()
		previous := a.working.resources[key]
		undo = append(undo, undoStep{key: key, previous: previous})
		a.working.apply(change)
		a.index.replace(previous, a.working.resources[key])
	}
	return undo
}

func (a *Admission) restore(undo []undoStep) {
	for _, step := range slices.Backward(undo) {
		a.index.replace(a.working.resources[step.key], step.previous)
		a.working.set(step.key, step.previous)
	}
}

// checkSize refuses a batch that makes the configuration larger than one
// message can carry. A batch that makes a larger one smaller is taken.
func (a *Admission) checkSize(before int) []FieldError {
	if a.working.size <= max(before, MaximumStateBytes) {
		return nil
	}
	return []FieldError{{Path: "changes", Reason: fmt.Sprintf(
		"would make the configuration %d bytes large, at most %d; delete resources first", a.working.size, MaximumStateBytes)}}
}
