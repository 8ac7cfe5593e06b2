package versionlog

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/gravitational/trace"
	"github.com/klauspost/compress/zstd"

	"github.com/kestrelstream/kestrelstream/internal/resource"
	"github.com/kestrelstream/kestrelstream/internal/store"
)

// Sizes of checkpoints.
const (
	// MaximumChunkBytes bounds one stored piece of a checkpoint.
	MaximumChunkBytes = 256 << 10
	// MaximumCheckpointBytes bounds a checkpoint before compression.
	MaximumCheckpointBytes = 64 << 20

	// checkpointWindow bounds the memory of compression.
	checkpointWindow = 1 << 20
)

// Pointer names the newest checkpoint. It only moves forward.
type Pointer struct {
	Version uint64 `json:"version"`
	// Chunks are the SHA-256 digests of the pieces, in order.
	Chunks []string `json:"chunks"`
	// Floor is the highest version whose entry may have been trimmed. It rises
	// before anything is deleted.
	Floor uint64 `json:"floor"`
}

// readPointer returns the pointer and its revision; both are zero before the
// first checkpoint.
func (l *Log) readPointer(ctx context.Context) (Pointer, uint64, error) {
	value, err := l.store.Get(ctx, PointerKey)
	if errors.Is(err, store.ErrNotFound) {
		return Pointer{}, 0, nil
	}
	if err != nil {
		return Pointer{}, 0, err
	}
	var pointer Pointer
	if err := json.Unmarshal(value.Value, &pointer); err != nil {
		return Pointer{}, 0, fmt.Errorf("%w: checkpoint pointer: %w", ErrMalformed, err)
	}
	return pointer, value.Revision, nil
}

// Checkpoint stores a state and moves the pointer to it. It does nothing when
// the pointer is at that version or beyond. Any process may call it at any
// time; a late or repeated call does no harm.
func (l *Log) Checkpoint(ctx context.Context, state *resource.State) error {
	current, _, err := l.readPointer(ctx)
	if err != nil {
		return trace.Wrap(err, "step=read checkpoint pointer")
	}
	if current.Version >= state.Version() {
		return nil
	}
	chunks, err := l.codec.encodeState(state)
	if err != nil {
		return trace.Wrap(err, "step=encode checkpoint version=%d", state.Version())
	}
	digests, err := l.writeChunks(ctx, state.Version(), chunks)
	if err != nil {
		return trace.Wrap(err, "step=write checkpoint version=%d", state.Version())
	}
	err = l.movePointer(ctx, Pointer{Version: state.Version(), Chunks: digests})
	return trace.Wrap(err, "step=move checkpoint pointer version=%d", state.Version())
}

// writeChunks stores the pieces under their digests; a piece that is there
// already is the same piece.
func (l *Log) writeChunks(ctx context.Context, version uint64, chunks [][]byte) ([]string, error) {
	digests := make([]string, 0, len(chunks))
	for _, chunk := range chunks {
		digest := digestOf(chunk)
		_, err := l.store.CompareAndSwap(ctx, store.Swap{Key: chunkKey(version, digest), Value: chunk})
		if err != nil && !errors.Is(err, store.ErrConflict) {
			return nil, err
		}
		digests = append(digests, digest)
	}
	return digests, nil
}

// movePointer replaces an older pointer by compare-and-swap until it is at
// least at the new version. The floor never sinks.
func (l *Log) movePointer(ctx context.Context, next Pointer) error {
	for {
		current, revision, err := l.readPointer(ctx)
		if err != nil {
			return err
		}
		if current.Version >= next.Version {
			return nil
		}
		next.Floor = max(current.Floor, next.Version-min(next.Version, l.keepEntries))
		value, err := json.Marshal(next)
		if err != nil {
			return err
		}
		_, err = l.store.CompareAndSwap(ctx, store.Swap{Key: PointerKey, ExpectedRevision: revision, Value: value})
		if !errors.Is(err, store.ErrConflict) {
			return err
		}
	}
}

// Maintenance is what Maintain did.
type Maintenance struct {
	Checkpointed bool
	// Trimmed is how many keys were deleted.
	Trimmed int
}

// Maintain stores a checkpoint when the state is at least every entries past
// the last one, and then trims at most limit keys. It costs one read when there
// is nothing to do.
func (l *Log) Maintain(ctx context.Context, state *resource.State, every uint64, limit int) (Maintenance, error) {
	current, _, err := l.readPointer(ctx)
	if err != nil {
		return Maintenance{}, trace.Wrap(err, "step=read checkpoint pointer")
	}
	if state.Version() < current.Version+every {
		return Maintenance{}, nil
	}
	if err := l.Checkpoint(ctx, state); err != nil {
		return Maintenance{}, err
	}
	trimmed, err := l.Trim(ctx, limit)
	return Maintenance{Checkpointed: true, Trimmed: trimmed}, err
}

// Trim deletes what nobody reads any more, at most limit keys, and returns how
// many it deleted: entries up to the floor, and chunks of versions below the
// pointer's, which no pointer can come to name.
func (l *Log) Trim(ctx context.Context, limit int) (int, error) {
	pointer, _, err := l.readPointer(ctx)
	if err != nil {
		return 0, trace.Wrap(err, "step=read checkpoint pointer")
	}
	entries, err := l.deleteBelow(ctx, LogPrefix, pointer.Floor+1, limit)
	if err != nil {
		return entries, trace.Wrap(err, "step=trim log floor=%d", pointer.Floor)
	}
	chunks, err := l.deleteBelow(ctx, ChunkPrefix, pointer.Version, limit-entries)
	return entries + chunks, trace.Wrap(err, "step=trim chunks version=%d", pointer.Version)
}

// deleteBelow deletes keys whose version is below the bound, lowest first.
func (l *Log) deleteBelow(ctx context.Context, prefix string, bound uint64, limit int) (int, error) {
	if limit <= 0 {
		return 0, nil
	}
	values, _, err := l.store.Range(ctx, prefix, "", min(limit, pageEntries))
	if err != nil {
		return 0, err
	}
	end := prefix + versionText(bound)
	deleted := 0
	for _, value := range values {
		if value.Key >= end {
			break
		}
		_, err := l.store.CompareAndSwap(ctx, store.Swap{Key: value.Key, ExpectedRevision: value.Revision, Delete: true})
		if err != nil && !gone(err) {
			return deleted, err
		}
		deleted++
	}
	return deleted, nil
}

// gone reports that another process deleted the key first.
func gone(err error) bool {
	return errors.Is(err, store.ErrConflict) || errors.Is(err, store.ErrNotFound)
}

// readCheckpoint returns the state a pointer names. It returns
// store.ErrCompacted when a newer checkpoint has replaced the chunks.
func (l *Log) readCheckpoint(ctx context.Context, pointer Pointer) (*resource.State, error) {
	if pointer.Version == 0 {
		return resource.NewState(), nil
	}
	var encoded bytes.Buffer
	for _, digest := range pointer.Chunks {
		value, err := l.store.Get(ctx, chunkKey(pointer.Version, digest))
		if errors.Is(err, store.ErrNotFound) {
			return nil, fmt.Errorf("%w: chunk %s of checkpoint %d", store.ErrCompacted, digest, pointer.Version)
		}
		if err != nil {
			return nil, err
		}
		if digestOf(value.Value) != digest {
			return nil, fmt.Errorf("%w: chunk %s has another digest", ErrMalformed, digest)
		}
		encoded.Write(value.Value)
	}
	return l.codec.decodeState(pointer.Version, encoded.Bytes())
}

// encodeState returns the pieces of a state's stored form.
func (c codec) encodeState(state *resource.State) ([][]byte, error) {
	resources := state.All()
	for index := range resources {
		sealed, err := c.seal(resources[index])
		if err != nil {
			return nil, err
		}
		resources[index] = sealed
	}
	plain, err := json.Marshal(resources)
	if err != nil {
		return nil, err
	}
	if len(plain) > MaximumCheckpointBytes {
		return nil, fmt.Errorf("%w: checkpoint of %d bytes, at most %d", ErrEntryTooLarge, len(plain), MaximumCheckpointBytes)
	}
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(checkpointWindow), zstd.WithLowerEncoderMem(true))
	if err != nil {
		return nil, err
	}
	defer encoder.Close()
	return split(encoder.EncodeAll(plain, nil)), nil
}

func (c codec) decodeState(version uint64, encoded []byte) (*resource.State, error) {
	decoder, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(MaximumCheckpointBytes))
	if err != nil {
		return nil, err
	}
	defer decoder.Close()
	plain, err := decoder.DecodeAll(encoded, nil)
	if err != nil {
		return nil, fmt.Errorf("%w: checkpoint %d: %w", ErrMalformed, version, err)
	}
	var resources []*resource.Resource
	if err := json.Unmarshal(plain, &resources); err != nil {
		return nil, fmt.Errorf("%w: checkpoint %d: %w", ErrMalformed, version, err)
	}
	for index := range resources {
		if fault := resources[index].WellFormed(); fault != nil {
			return nil, fmt.Errorf("%w: checkpoint %d: %w", ErrMalformed, version, fault)
		}
		opened, err := c.open(resources[index])
		if err != nil {
			return nil, err
		}
		resources[index] = opened
	}
	return resource.Restore(version, resources), nil
}

// split cuts bytes into pieces of at most MaximumChunkBytes.
func split(encoded []byte) [][]byte {
	var pieces [][]byte
	for len(encoded) > MaximumChunkBytes {
		pieces = append(pieces, encoded[:MaximumChunkBytes])
		encoded = encoded[MaximumChunkBytes:]
	}
	return append(pieces, encoded)
}

func chunkKey(version uint64, digest string) string {
	return ChunkPrefix + versionText(version) + "/" + digest
}

func digestOf(chunk []byte) string {
	sum := sha256.Sum256(chunk)
	return hex.EncodeToString(sum[:])
}
