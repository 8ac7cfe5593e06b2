// Package calls remembers which calls have been passed on to a back end, so
// that a second arrival is recognised. The memory is bounded; it never forgets
// a call before its retention is over, it rather takes no further one.
package calls

import (
	"errors"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Errors of Record.
var (
	// ErrDuplicate: the call was passed on before.
	ErrDuplicate = errors.New("calls: this call was passed on before")
	// ErrFull: every remembered call is still within its retention.
	ErrFull = errors.New("calls: memory is full")
)

// shardCount is a power of two.
const shardCount = 64

// Deduplicator is safe for concurrent use. Its locks are per shard.
type Deduplicator struct {
	shards [shardCount]shard
}

// shard holds keys in a ring in the order of arrival.
type shard struct {
	mutex    sync.Mutex // guards all below
	retained map[uint64]time.Time
	ring     []uint64
	start    int
	count    int
}

// NewDeduplicator returns a memory of about that many calls.
func NewDeduplicator(capacity int) *Deduplicator {
	created := &Deduplicator{}
	perShard := max(capacity/shardCount, 1)
	for index := range created.shards {
		created.shards[index].retained = map[uint64]time.Time{}
		created.shards[index].ring = make([]uint64, perShard)
	}
	return created
}

// Record remembers the call until the given time at least. It returns an error
// when the call must not be passed on.
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

// Forget removes a call that provably was not passed on after all. Its place
// in the ring stays taken until its turn comes.
func (d *Deduplicator) Forget(call string) {
	key := xxhash.Sum64String(call)
	part := &d.shards[key%shardCount]
	part.mutex.Lock()
	defer part.mutex.Unlock()
	delete(part.retained, key)
}

// dropOldest frees the oldest place if its retention is over.
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
