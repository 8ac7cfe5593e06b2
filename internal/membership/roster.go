package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/kestrelstream/kestrelstream/internal/distribution"
	"github.com/kestrelstream/kestrelstream/internal/endpoint"
)

// regionLabel carries a member's region in its announcement.
const regionLabel = "region"

// settleTime is how long a daemon must have had a path to a reader before it
// stops counting seeds that have not announced themselves.
const settleTime = 10 * time.Second

// Roster is one daemon's view of which control daemons there are. Daemons
// announce themselves like endpoints: the highest (incarnation, sequence) wins,
// a relay that loses a daemon declares it down after a suspicion, and a daemon
// wrongly declared down refutes it. It is not safe for concurrent use.
type Roster struct {
	self      *endpoint.Authority
	seeds     []Member
	announced *endpoint.Table
	// pathSince is since when there has been a path to a reader; zero while
	// there is none.
	pathSince time.Time

	// members is the newest list, made for view; stale says that an
	// announcement came since.
	members []Member
	key     cacheKey
	stale   bool
}

// cacheKey is what a list of members depends on beside the announcements.
type cacheKey struct{ hasPath, settled bool }

// NewRoster returns the view of a daemon that knows the seeds and itself.
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

// Reannounce returns the announcement anew. It is made on each new path to a
// reader, so that whoever suspected the daemon learns that it lives.
func (r *Roster) Reannounce() endpoint.Update { return r.self.Reannounce() }

// Leave returns the announcement that the daemon is stopping, which the others
// believe at once.
func (r *Roster) Leave() endpoint.Update {
	update, _ := r.self.Set(endpoint.Draining)
	return update
}

// Observe takes in announcements, ignoring other endpoints. It returns the
// daemon's own new announcement when one of them has to be refuted.
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

// SetReaderPath notes whether the daemon has a path to a reader.
func (r *Roster) SetReaderPath(now time.Time, open bool) {
	switch {
	case !open:
		r.pathSince = time.Time{}
	case r.pathSince.IsZero():
		r.pathSince = now
	}
}

// SettlesAt returns when seeds that have not announced themselves stop to
// count; the zero time while there is no path to a reader.
func (r *Roster) SettlesAt() time.Time {
	if r.pathSince.IsZero() {
		return time.Time{}
	}
	return r.pathSince.Add(settleTime)
}

// Members returns the daemon itself, every announced daemon that is not leaving
// or down and, until the daemon has settled, the seeds that are not announced.
// They are ordered by name. The list is the same slice until something changed,
// and is not to be modified.
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

// unannounced returns the seeds of which no announcement is known, and, while
// there is no path to a reader, those last heard of as down: they may be back.
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

// ResolveReader returns the reader that holds a slot with a stream address, named
// after the member of that address.
func ResolveReader(members []Member, slot int, address string, revision uint64) distribution.Reader {
	found := distribution.Reader{Slot: slot, Node: address, Address: address, Revision: revision}
	index := slices.IndexFunc(members, func(m Member) bool { return m.Address == address })
	if index >= 0 {
		found.Node, found.Region = members[index].Name, members[index].Region
	}
	return found
}
