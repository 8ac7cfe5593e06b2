package versionlog

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/kestrelstream/kestrelstream/internal/resource"
	"github.com/kestrelstream/kestrelstream/internal/store"
)

// Keys of the log in the store.
const (
	// LogPrefix precedes the 20-digit version of an entry.
	LogPrefix = "log/"
	// PointerKey holds the pointer to the newest checkpoint.
	PointerKey = "checkpoint/pointer"
	// ChunkPrefix precedes the 20-digit version and the digest of a chunk.
	ChunkPrefix = "checkpoint/chunk/"

	versionDigits = 20
)

// ErrMalformed means that something stored can't be understood; trying again
// does not help.
var ErrMalformed = errors.New("versionlog: malformed")

// Sealer protects secret values at rest.
type Sealer interface {
	// Seal returns the form of a value that may be stored.
	Seal(value string) (string, error)
	// Open returns the value that was sealed.
	Open(sealed string) (string, error)
}

// codec turns entries and resources into their stored form and back, with
// secret values sealed on the way.
type codec struct {
	sealer Sealer
}

func entryKey(version uint64) string { return LogPrefix + versionText(version) }

func versionText(version uint64) string { return fmt.Sprintf("%0*d", versionDigits, version) }

// entryVersion returns the version in an entry's key.
func entryVersion(key string) (uint64, error) {
	version, err := strconv.ParseUint(strings.TrimPrefix(key, LogPrefix), 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%w: key %q: %w", ErrMalformed, key, err)
	}
	return version, nil
}

func (c codec) encodeEntry(entry resource.Entry) ([]byte, error) {
	sealed, err := c.mapSecrets(entry, c.seal)
	if err != nil {
		return nil, err
	}
	value, err := json.Marshal(sealed)
	if err != nil {
		return nil, err
	}
	if len(value) > MaximumEntryBytes {
		return nil, fmt.Errorf("%w: %d bytes, at most %d", ErrEntryTooLarge, len(value), MaximumEntryBytes)
	}
	return value, nil
}

func (c codec) decodeEntry(value store.KeyValue) (resource.Entry, error) {
	version, err := entryVersion(value.Key)
	if err != nil {
		return resource.Entry{}, err
	}
	var stored resource.Entry
	if err := json.Unmarshal(value.Value, &stored); err != nil {
		return resource.Entry{}, fmt.Errorf("%w: entry %d: %w", ErrMalformed, version, err)
	}
	if stored.Version != version {
		return resource.Entry{}, fmt.Errorf("%w: entry %d says it is %d", ErrMalformed, version, stored.Version)
	}
	if fault := stored.WellFormed(); fault != nil {
		return resource.Entry{}, fmt.Errorf("%w: entry %d: %w", ErrMalformed, version, fault)
	}
	return c.mapSecrets(stored, c.open)
}

// mapSecrets returns a copy of the entry with every put resource converted.
func (c codec) mapSecrets(entry resource.Entry, convert func(*resource.Resource) (*resource.Resource, error)) (resource.Entry, error) {
	if c.sealer == nil {
		return entry, nil
	}
	entry.Batches = slices.Clone(entry.Batches)
	for index := range entry.Batches {
		batch := &entry.Batches[index]
		batch.Changes = slices.Clone(batch.Changes)
		for position := range batch.Changes {
			converted, err := convert(batch.Changes[position].Resource)
			if err != nil {
				return resource.Entry{}, err
			}
			batch.Changes[position].Resource = converted
		}
	}
	return entry, nil
}

// seal returns the resource as it may be stored.
func (c codec) seal(plain *resource.Resource) (*resource.Resource, error) {
	return c.withValue(plain, "seal", Sealer.Seal)
}

// open returns the resource as it was before seal.
func (c codec) open(sealed *resource.Resource) (*resource.Resource, error) {
	return c.withValue(sealed, "open", Sealer.Open)
}

func (c codec) withValue(original *resource.Resource, step string, convert func(Sealer, string) (string, error)) (*resource.Resource, error) {
	if c.sealer == nil || original == nil || original.Secret == nil {
		return original, nil
	}
	value, err := convert(c.sealer, original.Secret.Value)
	if err != nil {
		return nil, fmt.Errorf("%w: %s %v: %w", ErrMalformed, step, original.Key(), err)
	}
	secret := *original.Secret
	secret.Value = value
	converted := *original
	converted.Secret = &secret
	return &converted, nil
}
