package exchange

import (
	"sync/atomic"
	"time"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/clock"
)

// atomicTime is a moment of the node's clock that is read and set by several goroutines. Its zero
// value is never.
type atomicTime struct{ value atomic.Pointer[time.Time] }

// set replaces the moment.
func (s *atomicTime) set(moment time.Time) { s.value.Store(&moment) }

// within reports whether the moment lies at most so far back.
func (s *atomicTime) within(span time.Duration) bool {
	held := s.value.Load()
	return held != nil && clock.Since(*held) <= span
}
