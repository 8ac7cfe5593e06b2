// Package membership assigns roles to control daemons without coordination.
// Each node applies rendezvous hashing to its member list to determine the
// relays of a zone, the candidates for store reader, and its own parents in
// order of preference. Nodes with different lists reach different results only
// for the members on which the lists disagree. The package performs no I/O and
// reads no clock.
package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/kestrelstream/kestrelstream/internal/distribution"
	"github.com/kestrelstream/kestrelstream/internal/distribution/subscriber"
)

// Member is a control daemon that other nodes may attach to.
type Member struct {
	Name    string
	Zone    string
	Region  string
	Address string
}

// Parent converts the member to a parent candidate.
func (m Member) Parent() subscriber.Parent {
	return subscriber.Parent{Node: m.Name, Address: m.Address}
}

// Rank orders members by rendezvous hash for a key, highest score first. Ties
// are broken by name. Removing a member does not change the relative order of
// the others.
func Rank(key string, members []Member) []Member {
	type scored struct {
		member Member
		score  uint64
	}
	scores := make([]scored, len(members))
	for i, member := range members {
		scores[i] = scored{member, score(key, member.Name)}
	}
	slices.SortFunc(scores, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.member.Name, b.member.Name))
	})
	ranked := make([]Member, len(scores))
	for i, scored := range scores {
		ranked[i] = scored.member
	}
	return ranked
}

func score(key, name string) uint64 {
	return xxhash.Sum64String(key + "\x00" + name)
}

// InZone returns the members of a zone.
func InZone(members []Member, zone string) []Member {
	var list []Member
	for _, member := range members {
		if member.Zone == zone {
			list = append(list, member)
		}
	}
	return list
}

// ZoneRelays returns the relays of a zone: the count highest-ranked members of
// that zone, or all of them if there are fewer.
func ZoneRelays(members []Member, zone string, count int) []Member {
	ranked := Rank("relay/"+zone, InZone(members, zone))
	return ranked[:min(count, len(ranked))]
}

// ReaderCandidates orders all members as candidates for the reader slots. It
// interleaves the regions round-robin, so that the first candidates are in
// different regions.
func ReaderCandidates(members []Member) []Member {
	byRegion := map[string][]Member{}
	var regions []string
	for _, member := range Rank("reader", members) {
		if byRegion[member.Region] == nil {
			regions = append(regions, member.Region)
		}
		byRegion[member.Region] = append(byRegion[member.Region], member)
	}
	slices.Sort(regions)
	candidates := make([]Member, 0, len(members))
	for turn := 0; len(candidates) < len(members); turn++ {
		for _, region := range regions {
			if turn < len(byRegion[region]) {
				candidates = append(candidates, byRegion[region][turn])
			}
		}
	}
	return candidates
}

// ProxyParents returns the parent candidates of a proxy: the relays of its zone,
// ranked per proxy to distribute the proxies over them, followed by the other
// members of the zone. A proxy never attaches outside its zone.
func ProxyParents(members []Member, zone, proxy string, relays int) []subscriber.Parent {
	ranked := Rank("relay/"+zone, InZone(members, zone))
	chosen := min(relays, len(ranked))
	order := append(Rank("proxy/"+proxy, ranked[:chosen]), ranked[chosen:]...)
	return parents(order)
}

// UpperTier returns the daemons that other daemons may attach to when no reader
// is known: the relays of every zone and the first reader candidates, in the
// order of ReaderCandidates.
func UpperTier(members []Member, relays, candidates int) []Member {
	chosen := map[string]bool{}
	for _, zone := range zonesOf(members) {
		for _, relay := range ZoneRelays(members, zone, relays) {
			chosen[relay.Name] = true
		}
	}
	ranked := ReaderCandidates(members)
	for _, candidate := range ranked[:min(candidates, len(ranked))] {
		chosen[candidate.Name] = true
	}
	return slices.DeleteFunc(ranked, func(m Member) bool { return !chosen[m.Name] })
}

func zonesOf(members []Member) []string {
	var zones []string
	for _, member := range members {
		zones = append(zones, member.Zone)
	}
	slices.Sort(zones)
	return slices.Compact(zones)
}

// DaemonParents returns the parent candidates of a control daemon, given the
// upper tier. A daemon of the upper tier attaches to the holders of reader
// slots, those in its own region first, then to upper-tier daemons that rank
// above it. Any other daemon tries the relays of its zone first. This order
// rules out attachment cycles when no reader is known. A slot holder does not
// attach to a parent: it is a peer of the other holders.
func DaemonParents(members, upperTier []Member, self Member, relays int, readers []distribution.Reader) []subscriber.Parent {
	var order []subscriber.Parent
	inUpperTier := slices.ContainsFunc(upperTier, func(m Member) bool { return m.Name == self.Name })
	if !inUpperTier {
		order = append(order, parents(Rank("daemon/"+self.Name, ZoneRelays(members, self.Zone, relays)))...)
	}
	for _, reader := range sameRegionFirst(readers, self) {
		if reader.Node != "" {
			order = append(order, subscriber.Parent{Node: reader.Node, Address: reader.Address})
		}
	}
	order = append(order, parents(rankedAbove(upperTier, self.Name))...)
	return deduplicate(order, self.Name)
}

// ReaderRank returns the index of a member in ReaderCandidates, or -1 if it is
// not a member.
func ReaderRank(members []Member, name string) int {
	return slices.IndexFunc(ReaderCandidates(members), func(m Member) bool { return m.Name == name })
}

func sameRegionFirst(readers []distribution.Reader, self Member) []distribution.Reader {
	ordered := slices.Clone(readers)
	slices.SortStableFunc(ordered, func(a, b distribution.Reader) int {
		return cmp.Or(
			cmp.Compare(regionDistance(a.Region, self.Region), regionDistance(b.Region, self.Region)),
			cmp.Compare(score(self.Name, b.Node), score(self.Name, a.Node)))
	})
	return ordered
}

func regionDistance(a, b string) int {
	if a == b {
		return 0
	}
	return 1
}

func rankedAbove(candidates []Member, name string) []Member {
	index := slices.IndexFunc(candidates, func(m Member) bool { return m.Name == name })
	if index < 0 {
		return candidates
	}
	return candidates[:index]
}

func parents(members []Member) []subscriber.Parent {
	list := make([]subscriber.Parent, len(members))
	for i, member := range members {
		list[i] = member.Parent()
	}
	return list
}

func deduplicate(list []subscriber.Parent, except string) []subscriber.Parent {
	seen := map[string]bool{except: true}
	var kept []subscriber.Parent
	for _, parent := range list {
		if !seen[parent.Node] {
			seen[parent.Node] = true
			kept = append(kept, parent)
		}
	}
	return kept
}
