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

// release states which of a child's pending summaries may be sent with its next
// message.
type release int

const (
	releaseNone release = iota
	releaseOwnZone
	releaseAll
)

type zoneKey struct{ zone, relay string }

// heldStatus is one summary and its origin. The zero origin denotes the relay's
// own children. A summary without proxies marks a relay that no longer has any.
// It is kept so that an older summary cannot restore the relay's entry.
type heldStatus struct {
	summary distribution.ZoneStatus
	origin  origin
}

// statusBoard holds the summaries of all known zones: those of the relay's own
// children, those reported by its control children and those from its parent or
// peers. Of two summaries of one relay, the one with the later stamp wins.
type statusBoard struct {
	held map[zoneKey]heldStatus
	// floors holds the highest version known to have been in force, by zone. It
	// never decreases.
	floors map[string]uint64
	// ownAt is when the summary of the relay's own children is recomputed; zero
	// if none of them changed.
	ownAt time.Time
	// ownAhead is set if a child reported a version that the relay has not
	// reached.
	ownAhead bool
	stamp    uint64
	// upward and changed hold the summaries to be sent to the parent and to the
	// control children.
	upward  map[zoneKey]struct{}
	changed map[zoneKey]struct{}
	// dueAt is when the collected summaries are sent next.
	dueAt time.Time
	// releaseAt is when a control child's summaries may be sent next.
	releaseAt time.Time
	// laggardsAt is when children behind the newest version become laggards;
	// zero after that.
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

// Zones returns the newest summaries, sorted by zone and relay. Summaries of a
// daemon that is declared down are omitted: readers may have received them only
// from each other, in which case no reader retires them.
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

// Floor returns the highest version known to have been in force in a zone, or
// claimed to be and accepted as such.
func (c *Core) Floor(zone string) uint64 {
	return max(c.status.floors[zone], c.claims.floors[zone])
}

// Report processes a child's report. A report from another incarnation than the
// session's is ignored.
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

// ParentZones merges summaries from the named parent or peer reader.
func (c *Core) ParentZones(now time.Time, parent string, zones []distribution.ZoneStatus) Outputs {
	for _, summary := range zones {
		c.mergeSummary(now, heldStatus{summary: summary, origin: origin{parent: parent}})
	}
	return c.finish(now)
}

// ParentAttached returns a report with everything that a new parent needs: the
// summaries and the endpoints that came from children.
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
// for the nodes that need it.
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

// refuteSummary rebuilds the relay's own summaries if a summary under this
// relay's name would hide the proxies attached now. Such a summary comes from
// an earlier process that stamped it before the clock was set back, or from a
// relay that lost this relay as a child, retired its summary and passed that
// on.
func (c *Core) refuteSummary(now time.Time, offered, held distribution.ZoneStatus) {
	retired := offered.Stamp == held.Stamp && supersedes(offered, held)
	outstamped := offered.Stamp > c.status.stamp && offered.Stamp != math.MaxUint64
	if !retired && !outstamped {
		return
	}
	c.status.stamp = max(c.status.stamp, offered.Stamp)
	c.rebuildOwnSummaries(now, true)
}

// updateSummaryOrigin updates the origin of a summary already held, which ends
// its suspicion. It reports whether peers must be told that the summary is now
// reported through this relay.
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

// supersedes reports whether one summary of a relay replaces another: it has a
// later stamp, or it has the same stamp and says that the relay has no proxies.
func supersedes(offered, held distribution.ZoneStatus) bool {
	if offered.Stamp != held.Stamp {
		return offered.Stamp > held.Stamp
	}
	return offered.Proxies == 0 && held.Proxies > 0
}

// raiseFloor records a version in force in a zone. While it is above the
// version held, children of the relay's own zone are told to look for another
// relay.
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

// scheduleOwnSummaries schedules the recomputation of the own children's
// summaries.
func (c *Core) scheduleOwnSummaries(now time.Time) {
	if c.status.ownAt.IsZero() {
		c.status.ownAt = now.Add(c.statusWindow())
	}
}

// statusWindow returns a window between half and one and a half times the
// configured one, chosen by the relay's name, so that the relays of one reader
// do not all report at the same time.
func (c *Core) statusWindow() time.Duration {
	share := time.Duration(xxhash.Sum64String(c.node.Name) % staggerSlots)
	return c.config.StatusWindow/2 + c.config.StatusWindow*share/staggerSlots
}

// suspectSummariesOf starts the suspicion of the summaries that a lost child
// had reported. They are retired unless they are received through another path.
func (c *Core) suspectSummariesOf(now time.Time, gone *session) {
	c.childChanged(now, gone)
	if gone.kind == distribution.ChildProxy {
		return
	}
	lost := suspect{origin: origin{session: gone.id}, at: now.Add(c.config.ProxySuspicionTimeout)}
	lost.summaries = c.status.summariesFrom(lost.origin)
	if len(lost.summaries) > 0 {
		c.suspects = append(c.suspects, lost)
	}
}

// retire replaces a summary by one that says that the relay has no proxies.
func (b *statusBoard) retire(now time.Time, key zoneKey) {
	held := b.held[key]
	held.summary = distribution.ZoneStatus{Zone: key.zone, Relay: key.relay, Stamp: held.summary.Stamp}
	b.held[key] = held
	b.changed[key] = struct{}{}
	b.schedule(now)
}

// summariesFrom returns the summaries of one origin that are not retired.
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

// flushStatus sends the collected summaries that are due.
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

// raisesFloorOf reports whether a summary raises the version in force in the
// child's own zone above the one last sent to the child.
func (c *Core) raisesFloorOf(session *session, key zoneKey) bool {
	return key.zone == session.node.Zone && c.status.held[key].summary.Highest > session.floorSent
}

// releaseSummaries sends a child's pending summaries once its interval has
// passed, or those of its own zone at once if they raise its floor. Otherwise
// it schedules them.
func (c *Core) releaseSummaries(now time.Time, session *session) {
	if len(session.pendingZones) == 0 {
		return
	}
	if !session.zonesScheduled && session.zonesAt.Before(now) {
		// Staggers the children over the interval.
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

// staggerSlots is the number of slots into which an interval is divided.
const staggerSlots = 16

// releaseDue sends the summaries whose interval has passed.
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

// drainSummaries removes the released summaries from the session's pending ones
// and returns them.
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
