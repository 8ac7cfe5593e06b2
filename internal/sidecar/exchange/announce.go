package exchange

import "github.com/kestrelstream/kestrelstream/internal/sidecar/readers"

// AnnounceVersion notifies other nodes that this node has read a newer configuration: the
// nodes of its zone that are assigned to it, and one node of each other larger zone, in case
// no node of that zone reaches the store.
func (e *Exchanger) AnnounceVersion() {
	own, view := e.options.Roster.Own(), e.options.Roster.View()
	targets := e.peersOf(readers.AssignedNodes(view, own, e.Reachable))
	for _, zone := range view.Zones() {
		if peers := e.peersOf(view.Zone(zone)); zone != own.Zone && len(peers) > smallZoneSize {
			targets = append(targets, peers[e.random.IntN(len(peers))])
		}
	}
	e.notifyAll(targets, own)
}

// notifyZone notifies some nodes of the own zone of the version in force and the shared state.
func (e *Exchanger) notifyZone() {
	own := e.options.Roster.Own()
	peers := e.shuffled(e.peersOf(e.options.Roster.View().Zone(own.Zone)))
	e.notifyAll(peers[:min(len(peers), relayFanout)], own)
}
