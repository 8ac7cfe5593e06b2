// Package contention decides whether overload control is on: nested calls first, slots shared
// between tenants, back ends chosen by load and, where it is asked for, repeats lent between nodes. The
// package is pure.
package contention

import (
	"sync/atomic"
)

// Mode is what the settings say.
type Mode string

// Modes.
const (
	// Auto: on where the configuration names tenants or some back end tells that it shares its
	// machine with others.
	Auto Mode = "auto"
	On   Mode = "on"
	Off  Mode = "off"
)

// Switch holds whether overload control is on. It is safe for concurrent use.
type Switch struct {
	mode Mode
	// tenants and shared are what is known of the deployment.
	tenants, shared atomic.Bool
}

// NewSwitch returns a switch that knows of no reason. An empty mode is Auto.
func NewSwitch(mode Mode) *Switch {
	if mode == "" {
		mode = Auto
	}
	return &Switch{mode: mode}
}

// SetTenantsConfigured takes in whether the configuration in force names tenants.
func (s *Switch) SetTenantsConfigured(named bool) { s.tenants.Store(named) }

// SetShared takes in that a back end shares its machine with others, and reports whether that is
// news. It holds for the life of the process.
func (s *Switch) SetShared() (news bool) { return s.shared.CompareAndSwap(false, true) }

// Shared reports whether some back end is known to share its machine.
func (s *Switch) Shared() bool { return s.shared.Load() }

// On reports whether requests compete for room.
func (s *Switch) On() bool {
	switch s.mode {
	case On:
		return true
	case Off:
		return false
	}
	return s.tenants.Load() || s.shared.Load()
}
