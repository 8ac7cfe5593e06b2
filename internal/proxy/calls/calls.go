// Package calls detects duplicate calls to a back end by the IDs of the calls
// that were already forwarded. Its capacity is bounded: a call is never evicted
// before its retention ends; new calls are rejected instead.
package calls

import (
	"errors"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Errors of Record.
var (
	// ErrDuplicate: the call has already been forwarded.
	ErrDuplicate = errors.New("calls: duplicate call")
	// ErrFull: there is no free entry and the oldest one is still retained.
	ErrFull = errors.New("calls: too many calls are retained")
)

// shardCount is a power of two, which makes the modulo cheap.
const shardCount = 64

// Deduplicator records call IDs for a retention time. It is safe for concurrent
// use; each shard has its own lock.
type Deduplicator struct {
	shards [shardCount]shard
}

// shard holds the hashes of call IDs in a ring buffer, in order of arrival.
type shard struct {
	mutex    sync.Mutex // guards all below
	retained map[uint64]time.Time
	ring     []uint64
	start    int
	count    int
}

// NewDeduplicator returns a Deduplicator for about capacity calls.
func NewDeduplicator(capacity int) *Deduplicator {
	created := &Deduplicator{}
	perShard := max(capacity/shardCount, 1)
	for index := range created.shards {
		created.shards[index].retained = map[uint64]time.Time{}
		created.shards[index].ring = make([]uint64, perShard)
	}
	return created
}

// Record retains the call at least until the given time. It returns ErrDuplicate
// or ErrFull if the call must not be forwarded.
func (d *Deduplicator) Record(now time.Time, call string, until time.Time) error {
	key := xxhash.Sum64String(call)
	part := &d.shards[key%shardCount]
	part.mutex.Lock()
	defer part.mutex.Unlock()
	if _, known := part.retained[key]; known {
		return ErrDuplicate
	}
	if part.count == len(part.ring) && !part.dropOldest(now) {
		return ErrFull
	}
	part.ring[(part.start+part.count)%len(part.ring)] = key
	part.count++
	part.retained[key] = until
	return nil
}

// Forget removes a call that was provably not forwarded. Its slot in the ring
// stays occupied until it is the oldest one.
func (d *Deduplicator) Forget(call string) {
	key := xxhash.Sum64String(call)
	part := &d.shards[key%shardCount]
	part.mutex.Lock()
	defer part.mutex.Unlock()
	delete(part.retained, key)
}

// dropOldest frees the oldest slot if its call is no longer retained, and reports
// whether it did.
func (s *shard) dropOldest(now time.Time) bool {
	oldest := s.ring[s.start]
	if until, retained := s.retained[oldest]; retained && now.Before(until) {
		return false
	}
	delete(s.retained, oldest)
	s.start = (s.start + 1) % len(s.ring)
	s.count--
	return true
}
