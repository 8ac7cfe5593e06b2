package distribution

import (
	"fmt"
	"maps"
	"slices"

	"github.com/kestrelstream/kestrelstream/internal/resource"
)

// WellFormed returns an error for the first value that is missing in a decoded
// message although the code that handles the message requires it, such as a null
// map entry.
func (m *Message) WellFormed() error {
	if m.Snapshot != nil {
		if err := checkMaps("snapshot", m.Snapshot.Services, m.Snapshot.Routes, m.Snapshot.Secrets); err != nil {
			return err
		}
	}
	if m.Delta != nil {
		if err := checkMaps("delta", m.Delta.PutServices, m.Delta.PutRoutes, m.Delta.PutSecrets); err != nil {
			return err
		}
	}
	if m.Checkpoint != nil {
		for index, declared := range m.Checkpoint.Resources {
			if malformed := declared.WellFormed(); malformed != nil {
				return malformed.Within(fmt.Sprintf("checkpoint.resources[%d]", index))
			}
		}
	}
	for index, entry := range m.Entries {
		if malformed := entry.WellFormed(); malformed != nil {
			return malformed.Within(fmt.Sprintf("entries[%d]", index))
		}
	}
	return nil
}

// checkMaps returns an error for the first nil value in the maps of a snapshot or
// delta.
func checkMaps[S, R, C any](field string, services map[string]*S, routes map[string]*R, secrets map[string]*C) error {
	if err := checkNoNil(field+".services", services); err != nil {
		return err
	}
	if err := checkNoNil(field+".routes", routes); err != nil {
		return err
	}
	return checkNoNil(field+".secrets", secrets)
}

// checkNoNil returns an error for the first key, in sorted order, whose value is
// nil.
func checkNoNil[T any](field string, values map[string]*T) error {
	for _, name := range slices.Sorted(maps.Keys(values)) {
		if values[name] == nil {
			return &resource.MalformedError{Field: field + "." + name, Reason: "is missing"}
		}
	}
	return nil
}
