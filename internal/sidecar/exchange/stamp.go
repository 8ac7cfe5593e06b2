package exchange

import (
	"sync/atomic"
	"time"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/clock"
)

// stamp is a moment of the node's clock that is read and set by several goroutines. Its zero
// value is never.
type stamp struct{ held atomic.Pointer[time.Time] }

// set replaces the moment.
func (s *stamp) set(moment time.Time) { s.held.Store(&moment) }

// within reports whether the moment lies at most so far back.
func (s *stamp) within(span time.Duration) bool {
	held := s.held.Load()
	return held != nil && clock.Since(*held) <= span
}
