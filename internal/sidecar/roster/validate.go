package roster

import (
	"net"

	"github.com/gravitational/trace"
)

const (
	// maxEpoch bounds epochs and counters. A node raises its own above those that it finds, so a
	// corrupt value must not lead to an overflow.
	maxEpoch = 1 << 60
	// maxSlots bounds the slots of a back end.
	maxSlots = 1 << 20
)

// Validate returns an error that names the first invalid field. Records are read from a store to
// which others may write as well.
func (r *Record) Validate() error {
	switch {
	case r.Node == "":
		return trace.BadParameter("node: is empty")
	case r.Epoch > maxEpoch || r.Counter > maxEpoch:
		return trace.BadParameter("epoch, counter: above %d", uint64(maxEpoch))
	case r.Zone == "":
		return trace.BadParameter("zone: is empty")
	case r.Link < 0:
		return trace.BadParameter("link: is below zero")
	}
	if _, _, err := net.SplitHostPort(r.Address); err != nil {
		return trace.BadParameter("address: %v", err)
	}
	if _, _, err := net.SplitHostPort(r.PeerAddress); err != nil {
		return trace.BadParameter("peerAddress: %v", err)
	}
	if r.Endpoint == nil {
		return nil
	}
	return r.Endpoint.validate()
}

func (e *Endpoint) validate() error {
	switch {
	case e.ID == "":
		return trace.BadParameter("endpoint.id: is empty")
	case e.Born < 0:
		return trace.BadParameter("endpoint.born: is below zero")
	case e.Service == "":
		return trace.BadParameter("endpoint.service: is empty")
	case e.Slots < 1 || e.Slots > maxSlots:
		return trace.BadParameter("endpoint.slots: is not from 1 to %d", maxSlots)
	case e.State != Ready && e.State != Draining && e.State != Gone:
		return trace.BadParameter("endpoint.state: %q is no state", e.State)
	}
	return nil
}
