package controlhost

import (
	"sync/atomic"

	"github.com/kestrelstream/kestrelstream/internal/distribution/stream"
	"github.com/kestrelstream/kestrelstream/internal/membership"
)

// maxOfferedParents is how many daemons of its zone a proxy is told of.
const maxOfferedParents = 8

// MemberList holds the control daemons known at present. It is safe for
// concurrent use; a list that was loaded is never changed.
type MemberList struct {
	current atomic.Pointer[[]membership.Member]
}

// NewMemberList returns a list that begins with the given members.
func NewMemberList(members []membership.Member) *MemberList {
	list := &MemberList{}
	list.store(members)
	return list
}

// Load returns the members known at present.
func (l *MemberList) Load() []membership.Member { return *l.current.Load() }

func (l *MemberList) store(members []membership.Member) { l.current.Store(&members) }

// Members returns the control daemons known at present.
func (h *Host) Members() []membership.Member { return h.members.Load() }

// relaysForZone returns the daemons that serve a zone first.
func (h *Host) relaysForZone(zone string) []stream.Parent {
	relays := membership.RelaysOf(h.members.Load(), zone, maxOfferedParents)
	parents := make([]stream.Parent, len(relays))
	for i, relay := range relays {
		parents[i] = stream.Parent{Node: relay.Name, Address: relay.Address}
	}
	return parents
}
