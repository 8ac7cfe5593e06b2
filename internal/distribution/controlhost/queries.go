package controlhost

import (
	"context"
	"time"

	"github.com/kestrelstream/kestrelstream/internal/distribution"
	"github.com/kestrelstream/kestrelstream/internal/distribution/control"
	"github.com/kestrelstream/kestrelstream/internal/endpoint"
	"github.com/kestrelstream/kestrelstream/internal/membership"
	"github.com/kestrelstream/kestrelstream/internal/resource"
)

// State returns the newest configuration.
func (h *Host) State() *resource.State { return h.state.Load() }

// EntriesAfter returns the entries after a version, or false if some of them are
// no longer kept.
func (h *Host) EntriesAfter(version uint64) ([]resource.Entry, bool) { return h.history.after(version) }

// Changed returns a channel that is closed when the result of EntriesAfter next
// changes.
func (h *Host) Changed() <-chan struct{} { return h.history.newest.Load().changed }

// MachineLeaving reports to the core that the platform lists a machine as leaving.
func (h *Host) MachineLeaving(ctx context.Context, node string) error {
	return h.submit(ctx, func(now time.Time) control.Outputs { return h.core.MachineLeaving(now, node) })
}

// Status describes the state of a host.
type Status struct {
	Version uint64 `json:"version"`
	// Reader reports whether this daemon believes that it holds a reader slot.
	Reader bool `json:"reader"`
	// Parent is the name of the parent that the daemon is attached to, if any.
	Parent  string                `json:"parent,omitempty"`
	Source  distribution.Source   `json:"source"`
	Readers []distribution.Reader `json:"readers,omitempty"`
	// Sessions is the number of attached children.
	Sessions int `json:"sessions"`
	// Uplinks is the number of streams to a parent or to peers that are open or
	// being opened.
	Uplinks int `json:"uplinks"`
	// Members are the known control daemons.
	Members []membership.Member `json:"members"`
}

// Status returns the host's current state, or the zero value once it stopped.
func (h *Host) Status() Status { return query(h, h.status) }

// query calls read on the loop's goroutine and returns its result, or the zero
// value once the host stopped.
func query[T any](h *Host, read func() T) T {
	var result T
	_ = h.submitAndWait(context.Background(), func(time.Time) control.Outputs {
		result = read()
		return control.Outputs{}
	})
	return result
}

func (h *Host) status() Status {
	status := Status{
		Version:  h.core.State().Version(),
		Reader:   h.core.HoldsReaderSlot(),
		Source:   h.core.Relay().Source(),
		Readers:  h.core.Relay().Readers(),
		Sessions: len(h.sessions),
		Uplinks:  len(h.links),
		Members:  h.members.Load(),
	}
	if parent, attached := h.core.Parent(); attached {
		status.Parent = parent.Node
	}
	return status
}

// Zones returns the newest zone summaries, or nothing once the host stopped.
func (h *Host) Zones() []distribution.ZoneStatus { return query(h, h.core.Relay().Zones) }

// Endpoints returns the newest update of every endpoint, by service and name, or
// nothing once the host stopped.
func (h *Host) Endpoints() []endpoint.Update { return query(h, h.core.Relay().Endpoints) }
