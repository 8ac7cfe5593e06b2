package relay

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/kestrelstream/kestrelstream/internal/distribution"
	"github.com/kestrelstream/kestrelstream/internal/endpoint"
)

// release says which of a child's pending summaries may go with its next
// message.
type release int

const (
	releaseNone release = iota
	releaseOwnZone
	releaseAll
)

type zoneKey struct{ zone, relay string }

// heldStatus is one summary and where it came from. The zero origin means the
// relay's own children. A summary without proxies marks a relay that no longer
// has any; it is kept so that an older summary can't bring it back.
type heldStatus struct {
	summary distribution.ZoneStatus
	origin  origin
}

// statusBoard holds the summaries of all zones that the relay knows of: its
// own children's, those its control children report and those from its
// parent or peers. Of two summaries of one relay the later stamp wins.
type statusBoard struct {
	held map[zoneKey]heldStatus
	// floors holds, by zone, the highest version known to have been in
	// force; it never falls.
	floors map[string]uint64
	// ownAt is when the own children's summary is to be made again; zero
	// while none of them changed.
	ownAt time.Time
	// ownAhead: a child reported a version that the relay has not reached.
	ownAhead bool
	stamp    uint64
	// upward and changed are the summaries due to the parent and to the
	// control children.
	upward  map[zoneKey]struct{}
	changed map[zoneKey]struct{}
	// dueAt is when the next combined summaries go out.
	dueAt time.Time
	// releaseAt is when the next child's summaries may go down.
	releaseAt time.Time
	// laggardsAt is when children behind the newest version become laggards;
	// zero once they are.
	laggardsAt time.Time
}

func newStatusBoard() statusBoard {
	return statusBoard{
		held:    map[zoneKey]heldStatus{},
		floors:  map[string]uint64{},
		upward:  map[zoneKey]struct{}{},
		changed: map[zoneKey]struct{}{},
	}
}

// Zones returns the newest summaries, by zone, then by relay. Those of a daemon
// that is declared down do not count: readers may have them from each other
// only, and then nobody retires them.
func (c *Core) Zones() []distribution.ZoneStatus {
	zones := make([]distribution.ZoneStatus, 0, len(c.status.held))
	for _, held := range c.status.held {
		if held.summary.Proxies > 0 && !c.isDown(held.summary.Relay) {
			zones = append(zones, held.summary)
		}
	}
	slices.SortFunc(zones, compareZones)
	return zones
}

// isDown reports whether a control daemon is declared down.
func (c *Core) isDown(daemon string) bool {
	update, known := c.endpoints.Get(endpoint.ID{Service: endpoint.ControlService, Name: daemon})
	return known && update.State == endpoint.Down
}

func compareZones(a, b distribution.ZoneStatus) int {
	return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Relay, b.Relay))
}

// Floor returns the highest version known, or believably claimed, to have been
// in force in a zone.
func (c *Core) Floor(zone string) uint64 {
	return max(c.status.floors[zone], c.claims.floors[zone])
}

// Report takes in what a child reported. A report of another incarnation than
// the session's is ignored.
func (c *Core) Report(now time.Time, id SessionID, report distribution.Report) Outputs {
	session := c.sessions[id]
	if session == nil || session.node.Incarnation != report.Node.Incarnation {
		return c.finish(now)
	}
	session.lastReportAt = now
	if report.Applied > session.applied {
		c.observeVersion(now, session.node, report.Applied)
	}
	if report.Applied > session.applied || !sameFailure(report.Failure, session.failure) {
		session.applied = max(session.applied, report.Applied)
		session.failure = report.Failure
		c.childChanged(now, session)
	}
	for _, summary := range report.Zones {
		c.mergeSummary(now, heldStatus{summary: summary, origin: origin{session: id}})
	}
	c.mergeChildEndpoints(now, session, report.Endpoints)
	return c.finish(now)
}

// ParentZones takes in summaries from the named parent or peer reader.
func (c *Core) ParentZones(now time.Time, parent string, zones []distribution.ZoneStatus) Outputs {
	for _, summary := range zones {
		c.mergeSummary(now, heldStatus{summary: summary, origin: origin{parent: parent}})
	}
	return c.finish(now)
}

// ParentAttached returns, as a report, everything a new parent has to learn:
// the summaries and the endpoints that came from children.
func (c *Core) ParentAttached(now time.Time) Outputs {
	c.rebuildOwnSummaries(now, true)
	for key, held := range c.status.held {
		if held.origin.parent == "" {
			c.status.upward[key] = struct{}{}
		}
	}
	c.status.schedule(now)
	for id, origin := range c.origins {
		if origin.session != 0 {
			c.upward[id] = struct{}{}
		}
	}
	return c.finish(now)
}

// mergeSummary stores a summary that is newer than the one held and queues it
// for whoever has to learn it.
func (c *Core) mergeSummary(now time.Time, offered heldStatus) {
	key := zoneKey{offered.summary.Zone, offered.summary.Relay}
	c.raiseFloor(key.zone, offered.summary.Highest)
	held, known := c.status.held[key]
	if key.relay == c.node.Name {
		c.refuteSummary(now, offered.summary, held.summary)
		return
	}
	if known && !supersedes(offered.summary, held.summary) && !c.updateSummaryOrigin(held, offered) {
		return
	}
	c.status.held[key] = offered
	c.status.changed[key] = struct{}{}
	if offered.origin.session != 0 {
		c.status.upward[key] = struct{}{}
	}
	c.status.schedule(now)
}

// refuteSummary makes the own summaries anew when one under this relay's name would
// hide the proxies that are here now: a predecessor stamped it later, before the
// clock was set back, or a relay retired the own one because it lost this relay
// as a child, and others believe it.
func (c *Core) refuteSummary(now time.Time, offered, held distribution.ZoneStatus) {
	retired := offered.Stamp == held.Stamp && supersedes(offered, held)
	outstamped := offered.Stamp > c.status.stamp && offered.Stamp != math.MaxUint64
	if !retired && !outstamped {
		return
	}
	c.status.stamp = max(c.status.stamp, offered.Stamp)
	c.rebuildOwnSummaries(now, true)
}

// updateSummaryOrigin takes in where a summary already held is now heard of: that ends
// its suspicion. It reports whether peers have to learn that it is heard of
// here.
func (c *Core) updateSummaryOrigin(held, offered heldStatus) bool {
	if offered.summary.Stamp != held.summary.Stamp || offered.summary.Proxies != held.summary.Proxies {
		return false
	}
	if c.sessions[held.origin.session] != nil && offered.origin.session == 0 {
		return false
	}
	key := zoneKey{offered.summary.Zone, offered.summary.Relay}
	c.status.held[key] = offered
	c.confirmSummary(offered.origin, key)
	return held.origin.session == 0 && offered.origin.session != 0
}

// supersedes reports whether one summary of a relay replaces another: it is
// later, or it says of the same stamp that the relay is gone.
func supersedes(offered, held distribution.ZoneStatus) bool {
	if offered.Stamp != held.Stamp {
		return offered.Stamp > held.Stamp
	}
	return offered.Proxies == 0 && held.Proxies > 0
}

// raiseFloor notes a version in force in a zone. While it is above what this
// relay holds, children of that zone are told to look for another relay.
func (c *Core) raiseFloor(zone string, version uint64) {
	if version <= c.status.floors[zone] {
		return
	}
	c.status.floors[zone] = version
	c.updateSourceFloor()
}

func (b *statusBoard) schedule(now time.Time) {
	if b.dueAt.IsZero() {
		b.dueAt = now
	}
}

func (c *Core) childChanged(now time.Time, child *session) {
	if child.kind == distribution.ChildProxy {
		c.scheduleOwnSummaries(now)
	}
}

// scheduleOwnSummaries has the own children's summary computed again.
func (c *Core) scheduleOwnSummaries(now time.Time) {
	if c.status.ownAt.IsZero() {
		c.status.ownAt = now.Add(c.statusWindow())
	}
}

// statusWindow differs from relay to relay by up to a half, so that the relays
// of one reader do not report together.
func (c *Core) statusWindow() time.Duration {
	share := time.Duration(xxhash.Sum64String(c.node.Name) % staggerSlots)
	return c.config.StatusWindow/2 + c.config.StatusWindow*share/staggerSlots
}

// suspectSummariesOf suspects the summaries that a lost child had reported: unless they
// are heard of elsewhere they are retired.
func (c *Core) suspectSummariesOf(now time.Time, gone *session) {
	c.childChanged(now, gone)
	if gone.kind == distribution.ChildProxy {
		return
	}
	lost := suspect{origin: origin{session: gone.id}, at: now.Add(c.config.SuspectProxy)}
	lost.summaries = c.status.summariesFrom(lost.origin)
	if len(lost.summaries) > 0 {
		c.suspects = append(c.suspects, lost)
	}
}

// retire replaces a summary by one that says the relay has no proxies.
func (b *statusBoard) retire(now time.Time, key zoneKey) {
	held := b.held[key]
	held.summary = distribution.ZoneStatus{Zone: key.zone, Relay: key.relay, Stamp: held.summary.Stamp}
	b.held[key] = held
	b.changed[key] = struct{}{}
	b.schedule(now)
}

// summariesFrom returns the summaries of one origin.
func (b *statusBoard) summariesFrom(origin origin) []distribution.ZoneStatus {
	var summaries []distribution.ZoneStatus
	for _, held := range b.held {
		if held.origin == origin && held.summary.Proxies > 0 {
			summaries = append(summaries, held.summary)
		}
	}
	return summaries
}

// expire retires a suspected summary that was not renewed since.
func (b *statusBoard) expire(now time.Time, from origin, suspected distribution.ZoneStatus) {
	key := zoneKey{suspected.Zone, suspected.Relay}
	held := b.held[key]
	if held.origin == from && held.summary.Stamp == suspected.Stamp && held.summary.Proxies > 0 {
		b.retire(now, key)
		b.upward[key] = struct{}{}
	}
}

// flushStatus sends the combined summaries that are due.
func (c *Core) flushStatus(now time.Time) {
	if due(now, c.status.ownAt) {
		c.rebuildOwnSummaries(now, false)
	}
	if !due(now, c.status.dueAt) {
		return
	}
	c.status.dueAt = time.Time{}
	if len(c.status.upward) > 0 {
		c.report().Zones = c.status.summaries(c.status.upward)
		clear(c.status.upward)
	}
	if len(c.status.changed) > 0 {
		c.queueChangedSummaries(now)
		clear(c.status.changed)
	}
}

func (c *Core) queueChangedSummaries(now time.Time) {
	for _, session := range c.order {
		if session.kind != distribution.ChildControl {
			continue
		}
		for key := range c.status.changed {
			if c.status.held[key].origin.session != session.id {
				session.pendingZones[key] = struct{}{}
				session.floorDue = session.floorDue || c.raisesFloorOf(session, key)
			}
		}
		c.releaseSummaries(now, session)
	}
}

// raisesFloorOf reports whether a summary tells a child of more in force in its
// own zone than it was told before.
func (c *Core) raisesFloorOf(session *session, key zoneKey) bool {
	return key.zone == session.node.Zone && c.status.held[key].summary.Highest > session.floorSent
}

// releaseSummaries lets a child's pending summaries go when its interval has
// passed, or those of its own zone when its floor rose; else it notes when they
// may go.
func (c *Core) releaseSummaries(now time.Time, session *session) {
	if len(session.pendingZones) == 0 {
		return
	}
	if !session.zonesScheduled && session.zonesAt.Before(now) {
		// The children take turns within the interval.
		session.zonesAt = now.Add(c.config.StatusInterval * time.Duration(uint64(session.id)%staggerSlots) / staggerSlots)
	}
	session.zonesScheduled = true
	switch {
	case !now.Before(session.zonesAt):
		session.release, session.zonesScheduled = releaseAll, false
	case session.floorDue:
		session.release = max(session.release, releaseOwnZone)
		c.status.releaseAt = earliest(c.status.releaseAt, session.zonesAt)
	default:
		c.status.releaseAt = earliest(c.status.releaseAt, session.zonesAt)
		return
	}
	c.sendPending(session)
}

// staggerSlots is how many turns an interval has.
const staggerSlots = 16

// releaseDue lets go whatever waited for its child's interval.
func (c *Core) releaseDue(now time.Time) {
	if !due(now, c.status.releaseAt) {
		return
	}
	c.status.releaseAt = time.Time{}
	for _, session := range c.order {
		c.releaseSummaries(now, session)
	}
}

func (b *statusBoard) queueAll(session *session) {
	for key := range b.held {
		session.pendingZones[key] = struct{}{}
	}
	session.release = releaseAll
}

// drainSummaries empties a session's pending summaries as far as they are
// released.
func (c *Core) drainSummaries(session *session) []distribution.ZoneStatus {
	release := session.release
	session.release, session.floorDue = releaseNone, false
	ready := map[zoneKey]struct{}{}
	for key := range session.pendingZones {
		if release == releaseAll || (release == releaseOwnZone && key.zone == session.node.Zone) {
			ready[key] = struct{}{}
			delete(session.pendingZones, key)
		}
	}
	if len(ready) == 0 {
		return nil
	}
	zones := c.status.summaries(ready)
	session.recordSentFloor(zones)
	return zones
}

func (s *session) recordSentFloor(zones []distribution.ZoneStatus) {
	for _, summary := range zones {
		if summary.Zone == s.node.Zone {
			s.floorSent = max(s.floorSent, summary.Highest)
		}
	}
}

func (b *statusBoard) summaries(keys map[zoneKey]struct{}) []distribution.ZoneStatus {
	zones := make([]distribution.ZoneStatus, 0, len(keys))
	for key := range keys {
		zones = append(zones, b.held[key].summary)
	}
	slices.SortFunc(zones, compareZones)
	return zones
}
