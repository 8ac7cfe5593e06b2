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

// ComputeDigest digests the content without the version. Maps are encoded in
// key order, so equal content has an equal digest.
func (s *Snapshot) ComputeDigest() string {
	content := Snapshot{Services: s.Services, Routes: s.Routes, Secrets: s.Secrets}
	encoded, err := json.Marshal(content)
	if err != nil {
		panic("projection: a snapshot of plain data always encodes: " + err.Error())
	}
	return fmt.Sprintf("%016x", xxhash.Sum64(encoded))
}

// CheckReferences returns an error naming the first route whose service or secret the
// snapshot does not hold.
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

// DanglingReferenceError says that a route points at something not held.
type DanglingReferenceError struct {
	Route string
	Kind  resource.Kind
	Name  string
}

// Error names the route and what it lacks.
func (e *DanglingReferenceError) Error() string {
	return fmt.Sprintf("route %q refers to %s %q, which the snapshot does not hold", e.Route, e.Kind, e.Name)
}

// Delta turns the snapshot (FromVersion, FromDigest) into (Version, Digest).
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

// Diff returns the delta that leads from one snapshot to another.
func Diff(from, to *Snapshot) *Delta {
	delta := &Delta{FromVersion: from.Version, FromDigest: from.Digest, Version: to.Version, Digest: to.Digest}
	delta.PutServices, delta.DeleteServices = diffMaps(from.Services, to.Services)
	delta.PutRoutes, delta.DeleteRoutes = diffMaps(from.Routes, to.Routes)
	delta.PutSecrets, delta.DeleteSecrets = diffMaps(from.Secrets, to.Secrets)
	return delta
}

// BaseMismatchError says that a delta starts from another snapshot than held.
type BaseMismatchError struct {
	HeldVersion, WantVersion uint64
	HeldDigest, WantDigest   string
}

// Error names both bases.
func (e *BaseMismatchError) Error() string {
	return fmt.Sprintf("delta starts from version %d digest %s, held is version %d digest %s",
		e.WantVersion, e.WantDigest, e.HeldVersion, e.HeldDigest)
}

// DigestMismatchError says that content does not have the digest it claims.
type DigestMismatchError struct {
	Version       uint64
	Claimed, Computed string
}

// Error names the version and both digests.
func (e *DigestMismatchError) Error() string {
	return fmt.Sprintf("version %d claims digest %s, its content has %s", e.Version, e.Claimed, e.Computed)
}

// ApplyDelta returns the snapshot a delta leads to, checked by digest. The
// base is compared by digest: two versions of equal content are one base.
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

// Verify checks the claimed digest against the content.
func (s *Snapshot) Verify() error {
	if have := s.ComputeDigest(); have != s.Digest {
		return &DigestMismatchError{Version: s.Version, Claimed: s.Digest, Computed: have}
	}
	return nil
}

// WithVersion returns the same content under another version.
func (s *Snapshot) WithVersion(version uint64) *Snapshot {
	copied := *s
	copied.Version = version
	return &copied
}

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
