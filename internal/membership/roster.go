package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/kestrelstream/kestrelstream/internal/distribution"
	"github.com/kestrelstream/kestrelstream/internal/endpoint"
)

// regionLabel is the announcement label that holds the member's region.
const regionLabel = "region"

// settleTime is how long a daemon must have had a path to a reader before it
// stops listing seeds that have not announced themselves as members.
const settleTime = 10 * time.Second

// Roster is one daemon's view of the set of control daemons. Daemons announce
// themselves like endpoints: the announcement with the highest (incarnation,
// sequence) wins, a relay that loses its connection to a daemon declares it down
// after a suspicion period, and a daemon wrongly declared down refutes the
// declaration. A Roster is not safe for concurrent use.
type Roster struct {
	self      *endpoint.Authority
	seeds     []Member
	announced *endpoint.Table
	// pathSince is the time at which the current path to a reader was
	// established; zero while there is none.
	pathSince time.Time

	// members caches the member list computed for key. stale reports whether
	// an announcement has changed the table since.
	members []Member
	key     cacheKey
	stale   bool
}

// cacheKey holds the inputs of the member list other than the announcements.
type cacheKey struct{ hasPath, settled bool }

// NewRoster returns the roster of a daemon that knows only itself and the seeds.
func NewRoster(self Member, incarnation uint64, seeds []Member) *Roster {
	announcement := endpoint.Update{
		ID:          endpoint.ID{Service: endpoint.ControlService, Name: self.Name},
		Incarnation: incarnation,
		State:       endpoint.Ready,
		Zone:        self.Zone,
		Address:     self.Address,
	}
	if self.Region != "" {
		announcement.Labels = map[string]string{regionLabel: self.Region}
	}
	return &Roster{
		self:      endpoint.NewAuthority(announcement),
		seeds:     slices.Clone(seeds),
		announced: endpoint.NewTable(),
	}
}

// Announcement returns the daemon's own announcement.
func (r *Roster) Announcement() endpoint.Update { return r.self.Current() }

// Reannounce returns a renewed announcement of the daemon. It is sent on each
// new path to a reader, so that nodes that suspected the daemon learn that it is
// alive.
func (r *Roster) Reannounce() endpoint.Update { return r.self.Reannounce() }

// Leave marks the daemon as draining and returns the announcement. Other daemons
// act on it immediately, without a suspicion period.
func (r *Roster) Leave() endpoint.Update {
	update, _ := r.self.Set(endpoint.Draining)
	return update
}

// Observe merges the announcements of control daemons and ignores updates of
// other endpoints. If one of them has to be refuted, it returns the daemon's own
// new announcement.
func (r *Roster) Observe(now time.Time, updates []endpoint.Update) (refutation endpoint.Update, refuted bool) {
	for _, update := range updates {
		if update.ID.Service != endpoint.ControlService {
			continue
		}
		if own, mustRefute := r.self.Observe(now, update); mustRefute {
			refutation, refuted = own, true
			continue
		}
		r.stale = r.announced.Merge(update) || r.stale
	}
	return refutation, refuted
}

// SetReaderPath records whether the daemon has a path to a reader.
func (r *Roster) SetReaderPath(now time.Time, open bool) {
	switch {
	case !open:
		r.pathSince = time.Time{}
	case r.pathSince.IsZero():
		r.pathSince = now
	}
}

// SettlesAt returns the time from which seeds that have not announced themselves
// are no longer listed, or the zero time while there is no path to a reader.
func (r *Roster) SettlesAt() time.Time {
	if r.pathSince.IsZero() {
		return time.Time{}
	}
	return r.pathSince.Add(settleTime)
}

// Members returns the daemon itself, every announced daemon that is not leaving
// or down and, until SettlesAt, the seeds without an announcement. The list is
// ordered by name. The same slice is returned until the list may have changed;
// callers must not modify it.
func (r *Roster) Members(now time.Time) []Member {
	settlesAt := r.SettlesAt()
	key := cacheKey{hasPath: !settlesAt.IsZero()}
	key.settled = key.hasPath && !now.Before(settlesAt)
	if r.members == nil || r.stale || key != r.key {
		r.members, r.key, r.stale = r.buildMembers(key.settled), key, false
	}
	return r.members
}

func (r *Roster) buildMembers(settled bool) []Member {
	own := r.self.Current()
	members := []Member{memberFromUpdate(own)}
	for _, update := range r.announced.All() {
		if update.ID != own.ID && update.State.AcceptsWork() {
			members = append(members, memberFromUpdate(update))
		}
	}
	if !settled {
		members = append(members, r.unannounced(own.ID)...)
	}
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return members
}

// unannounced returns the seeds without a known announcement. While there is no
// path to a reader, it also returns seeds last announced as leaving or down,
// because they may have restarted.
func (r *Roster) unannounced(own endpoint.ID) []Member {
	var seeds []Member
	for _, seed := range r.seeds {
		id := endpoint.ID{Service: endpoint.ControlService, Name: seed.Name}
		update, known := r.announced.Get(id)
		if id == own || (known && (update.State.AcceptsWork() || !r.pathSince.IsZero())) {
			continue
		}
		seeds = append(seeds, seed)
	}
	return seeds
}

func memberFromUpdate(update endpoint.Update) Member {
	return Member{Name: update.ID.Name, Zone: update.Zone, Region: update.Labels[regionLabel], Address: update.Address}
}

// ResolveReader returns the holder of a reader slot. It takes the node name and
// the region from the member with the given stream address; if there is none, the
// address serves as the node name.
func ResolveReader(members []Member, slot int, address string, revision uint64) distribution.Reader {
	found := distribution.Reader{Slot: slot, Node: address, Address: address, Revision: revision}
	index := slices.IndexFunc(members, func(m Member) bool { return m.Address == address })
	if index >= 0 {
		found.Node, found.Region = members[index].Name, members[index].Region
	}
	return found
}
