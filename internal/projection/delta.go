package projection

import (
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/kestrelstream/kestrelstream/internal/resource"
)

// ComputeDigest hashes the content of the snapshot without its version. The JSON
// encoder sorts map keys, so equal content has an equal digest.
func (s *Snapshot) ComputeDigest() string {
	content := Snapshot{Services: s.Services, Routes: s.Routes, Secrets: s.Secrets}
	encoded, err := json.Marshal(content)
	if err != nil {
		// A snapshot is plain data, which always encodes.
		panic("projection: encoding a snapshot as JSON: " + err.Error())
	}
	return fmt.Sprintf("%016x", xxhash.Sum64(encoded))
}

// CheckReferences returns a DanglingReferenceError for the first route, in order
// of name, whose service or secret is not in the snapshot.
func (s *Snapshot) CheckReferences() error {
	for _, name := range slices.Sorted(maps.Keys(s.Routes)) {
		route := s.Routes[name]
		if s.Services[route.Service] == nil {
			return &DanglingReferenceError{Route: name, Kind: resource.KindService, Name: route.Service}
		}
		if route.Secret != "" && s.Secrets[route.Secret] == nil {
			return &DanglingReferenceError{Route: name, Kind: resource.KindSecret, Name: route.Secret}
		}
	}
	return nil
}

// DanglingReferenceError reports a route that refers to a service or secret
// that is not in the snapshot.
type DanglingReferenceError struct {
	Route string
	Kind  resource.Kind
	Name  string
}

// Error returns a message with the route and the missing resource.
func (e *DanglingReferenceError) Error() string {
	return fmt.Sprintf("route %q refers to %s %q, which the snapshot does not hold", e.Route, e.Kind, e.Name)
}

// Delta is the difference between the snapshot identified by FromVersion and
// FromDigest and the one identified by Version and Digest.
type Delta struct {
	FromVersion    uint64                          `json:"fromVersion"`
	FromDigest     string                          `json:"fromDigest"`
	Version        uint64                          `json:"version"`
	Digest         string                          `json:"digest"`
	PutServices    map[string]*Service             `json:"putServices,omitempty"`
	PutRoutes      map[string]*resource.RouteSpec  `json:"putRoutes,omitempty"`
	PutSecrets     map[string]*resource.SecretSpec `json:"putSecrets,omitempty"`
	DeleteServices []string                        `json:"deleteServices,omitempty"`
	DeleteRoutes   []string                        `json:"deleteRoutes,omitempty"`
	DeleteSecrets  []string                        `json:"deleteSecrets,omitempty"`
}

// Diff returns the delta that turns one snapshot into another.
func Diff(from, to *Snapshot) *Delta {
	delta := &Delta{FromVersion: from.Version, FromDigest: from.Digest, Version: to.Version, Digest: to.Digest}
	delta.PutServices, delta.DeleteServices = diffMaps(from.Services, to.Services)
	delta.PutRoutes, delta.DeleteRoutes = diffMaps(from.Routes, to.Routes)
	delta.PutSecrets, delta.DeleteSecrets = diffMaps(from.Secrets, to.Secrets)
	return delta
}

// BaseMismatchError reports a delta whose base is not the snapshot that it was
// applied to.
type BaseMismatchError struct {
	HeldVersion, WantVersion uint64
	HeldDigest, WantDigest   string
}

// Error returns a message with the version and digest of both bases.
func (e *BaseMismatchError) Error() string {
	return fmt.Sprintf("delta starts from version %d digest %s, held is version %d digest %s",
		e.WantVersion, e.WantDigest, e.HeldVersion, e.HeldDigest)
}

// DigestMismatchError reports a snapshot whose content does not match the digest
// that came with it.
type DigestMismatchError struct {
	Version           uint64
	Claimed, Computed string
}

// Error returns a message with the version and both digests.
func (e *DigestMismatchError) Error() string {
	return fmt.Sprintf("version %d claims digest %s, its content has %s", e.Version, e.Claimed, e.Computed)
}

// ApplyDelta returns the result of applying a delta to the snapshot, and an error
// if the result does not match the delta's digest. Only the digest of the base
// is compared, since versions of equal content are interchangeable as a base.
func (s *Snapshot) ApplyDelta(delta *Delta) (*Snapshot, error) {
	if delta.FromDigest != s.Digest {
		return nil, &BaseMismatchError{
			HeldVersion: s.Version, HeldDigest: s.Digest,
			WantVersion: delta.FromVersion, WantDigest: delta.FromDigest,
		}
	}
	next := &Snapshot{
		Version:  delta.Version,
		Digest:   delta.Digest,
		Services: patchMap(s.Services, delta.PutServices, delta.DeleteServices),
		Routes:   patchMap(s.Routes, delta.PutRoutes, delta.DeleteRoutes),
		Secrets:  patchMap(s.Secrets, delta.PutSecrets, delta.DeleteSecrets),
	}
	return next, next.Verify()
}

// Verify returns a DigestMismatchError if Digest does not match the content.
func (s *Snapshot) Verify() error {
	if computed := s.ComputeDigest(); computed != s.Digest {
		return &DigestMismatchError{Version: s.Version, Claimed: s.Digest, Computed: computed}
	}
	return nil
}

// WithVersion returns a copy of the snapshot with another version. The copy shares
// the content.
func (s *Snapshot) WithVersion(version uint64) *Snapshot {
	copied := *s
	copied.Version = version
	return &copied
}

// diffMaps returns the entries of to that from lacks or holds with another
// value, and the sorted keys that only from holds.
func diffMaps[T any](from, to map[string]*T) (put map[string]*T, deleted []string) {
	put = map[string]*T{}
	for name, value := range to {
		if previous := from[name]; previous == nil || !reflect.DeepEqual(previous, value) {
			put[name] = value
		}
	}
	for name := range from {
		if to[name] == nil {
			deleted = append(deleted, name)
		}
	}
	slices.Sort(deleted)
	return put, deleted
}

// patchMap returns a copy of base without the deleted keys and with the put
// entries.
func patchMap[T any](base, put map[string]*T, deleted []string) map[string]*T {
	next := maps.Clone(base)
	if next == nil {
		next = map[string]*T{}
	}
	for _, name := range deleted {
		delete(next, name)
	}
	maps.Copy(next, put)
	return next
}
