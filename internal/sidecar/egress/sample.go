package egress

import (
	"sync/atomic"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// loggedCallsPerSecond limits how many successful calls are logged.
const loggedCallsPerSecond = 3

// newSampledLogger returns a logger that writes the first lines of each second. It serves a single
// message: zap's sampler holds counters for thousands of them, which would be a large part of an
// idle node's memory.
func newSampledLogger(logger *zap.Logger) *zap.Logger {
	return logger.WithOptions(zap.WrapCore(func(core zapcore.Core) zapcore.Core {
		return &sampledCore{Core: core, window: &atomic.Uint64{}}
	}))
}

// sampledCore passes on the first lines of each second. It is safe for concurrent use.
type sampledCore struct {
	zapcore.Core
	// window holds the second of the last line that was passed on, and in the lowest countBits how
	// many lines of it were passed on.
	window *atomic.Uint64
}

// countBits is the number of bits that count the lines of a second.
const countBits = 16

// With implements zapcore.Core.
func (s *sampledCore) With(fields []zapcore.Field) zapcore.Core {
	return &sampledCore{Core: s.Core.With(fields), window: s.window}
}

// Check implements zapcore.Core.
func (s *sampledCore) Check(entry zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if !s.Enabled(entry.Level) || !s.allow(uint64(entry.Time.Unix())) {
		return checked
	}
	return s.Core.Check(entry, checked)
}

// allow reports whether a line of that second is passed on, and counts it.
func (s *sampledCore) allow(second uint64) bool {
	for {
		before := s.window.Load()
		second := max(second, before>>countBits) // lines may arrive slightly out of order
		next := second<<countBits + 1
		if before>>countBits == second {
			next = before + 1
		}
		if next-second<<countBits > loggedCallsPerSecond {
			return false
		}
		if s.window.CompareAndSwap(before, next) {
			return true
		}
	}
}
