package exchange

import (
	"sync/atomic"
	"time"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/clock"
)

// atomicTime is a moment of the node's clock for concurrent use. Its zero value is no moment.
type atomicTime struct{ value atomic.Pointer[time.Time] }

// set replaces the moment.
func (s *atomicTime) set(moment time.Time) { s.value.Store(&moment) }

// within reports whether the moment lies within the last span.
func (s *atomicTime) within(span time.Duration) bool {
	value := s.value.Load()
	return value != nil && clock.Since(*value) <= span
}
