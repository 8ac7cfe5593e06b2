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

// setOnce sets the moment unless there is one.
func (s *atomicTime) setOnce(moment time.Time) {
	if s.value.Load() == nil {
		s.value.CompareAndSwap(nil, &moment)
	}
}

// get returns the moment, and false if there is none.
func (s *atomicTime) get() (moment time.Time, known bool) {
	if value := s.value.Load(); value != nil {
		return *value, true
	}
	return time.Time{}, false
}

// within reports whether the moment lies within the last span.
func (s *atomicTime) within(span time.Duration) bool {
	value := s.value.Load()
	return value != nil && clock.Since(*value) <= span
}
