package agent

import (
	"slices"

	"github.com/kestrelstream/kestrelstream/internal/agent/attachment"
	"github.com/kestrelstream/kestrelstream/internal/distribution"
	"github.com/kestrelstream/kestrelstream/internal/distribution/stream"
	"github.com/kestrelstream/kestrelstream/internal/distribution/subscriber"
	"github.com/kestrelstream/kestrelstream/internal/membership"
	"github.com/kestrelstream/kestrelstream/internal/settings"
)

// parentList ranks the daemons of a proxy's zone: those that the zone's own
// daemons name, then the seeds, which may be long gone.
type parentList struct {
	node   distribution.Node
	stream settings.ProxyStream
	seeds  []membership.Member
}

func provideParents(loaded settings.Proxy, node distribution.Node) *parentList {
	list := &parentList{node: node, stream: loaded.Stream}
	for _, seed := range loaded.Seeds {
		list.seeds = append(list.seeds, membership.Member{
			Name: seed.Name, Zone: seed.Zone, Region: seed.Region, Address: seed.Address,
		})
	}
	return list
}

func (l *parentList) rank(offered []stream.Parent) []subscriber.Parent {
	members := make([]membership.Member, 0, len(offered))
	for _, parent := range offered {
		members = append(members, membership.Member{Name: parent.Node, Zone: l.node.Zone, Address: parent.Address})
	}
	ranked := l.parents(members)
	for _, seed := range l.parents(l.seeds) {
		if !slices.Contains(ranked, seed) {
			ranked = append(ranked, seed)
		}
	}
	return ranked
}

func (l *parentList) parents(members []membership.Member) []subscriber.Parent {
	return attachment.Parents(members, l.node, l.stream)
}
