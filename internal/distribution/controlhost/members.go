package controlhost

import (
	"sync/atomic"

	"github.com/kestrelstream/kestrelstream/internal/distribution/stream"
	"github.com/kestrelstream/kestrelstream/internal/membership"
)

// maxOfferedParents is the maximum number of daemons offered to a proxy as
// parents.
const maxOfferedParents = 8

// MemberList holds the currently known control daemons. It is safe for concurrent
// use; a loaded list is never modified.
type MemberList struct {
	current atomic.Pointer[[]membership.Member]
}

// NewMemberList returns a list with the given initial members.
func NewMemberList(members []membership.Member) *MemberList {
	list := &MemberList{}
	list.store(members)
	return list
}

// Load returns the currently known members.
func (l *MemberList) Load() []membership.Member { return *l.current.Load() }

func (l *MemberList) store(members []membership.Member) { l.current.Store(&members) }

// Members returns the currently known control daemons.
func (h *Host) Members() []membership.Member { return h.members.Load() }

// relaysForZone returns the daemons that proxies of a zone prefer.
func (h *Host) relaysForZone(zone string) []stream.Parent {
	relays := membership.ZoneRelays(h.members.Load(), zone, maxOfferedParents)
	parents := make([]stream.Parent, len(relays))
	for i, relay := range relays {
		parents[i] = stream.Parent{Node: relay.Name, Address: relay.Address}
	}
	return parents
}
