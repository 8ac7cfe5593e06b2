// Package contention decides whether overload control is on: nested calls first, slots shared between
// tenants, load-based choice of back ends and, where enabled, retry tokens lent between nodes. The
// package does no I/O.
package contention

import (
	"sync/atomic"
)

// Mode is the configured mode of overload control.
type Mode string

// Modes of overload control.
const (
	// Auto: on if the configuration defines tenants or some back end reports that it shares its machine
	// with others.
	Auto Mode = "auto"
	On   Mode = "on"
	Off  Mode = "off"
)

// Switch reports whether overload control is on. It is safe for concurrent use.
type Switch struct {
	mode Mode
	// tenants: the configuration defines tenants. shared: a back end shares its machine.
	tenants, shared atomic.Bool
}

// NewSwitch returns a switch for a deployment without tenants and shared machines. An empty mode is Auto.
func NewSwitch(mode Mode) *Switch {
	if mode == "" {
		mode = Auto
	}
	return &Switch{mode: mode}
}

// SetTenantsConfigured sets whether the configuration in force defines tenants.
func (s *Switch) SetTenantsConfigured(configured bool) { s.tenants.Store(configured) }

// SetShared records that a back end shares its machine with others, and reports whether this was not
// known before. It holds for the lifetime of the process.
func (s *Switch) SetShared() (changed bool) { return s.shared.CompareAndSwap(false, true) }

// Shared reports whether some back end is known to share its machine.
func (s *Switch) Shared() bool { return s.shared.Load() }

// On reports whether overload control is on.
func (s *Switch) On() bool {
	switch s.mode {
	case On:
		return true
	case Off:
		return false
	}
	return s.tenants.Load() || s.shared.Load()
}
