package relay

import (
	"slices"
	"time"

	"github.com/kestrelstream/kestrelstream/internal/distribution"
	"github.com/kestrelstream/kestrelstream/internal/endpoint"
)

// ParentEndpoints merges endpoint states received from the named parent or peer
// reader. They are sent to the children only.
func (c *Core) ParentEndpoints(now time.Time, parent string, updates []endpoint.Update) Outputs {
	for _, update := range updates {
		c.mergeParentEndpoint(now, parent, update)
	}
	return c.finish(now)
}

// PeerEndpoints merges endpoint states that the named peer reader received from
// another reader. Updates already held are skipped: two readers that each
// recorded the other as the origin would never declare an endpoint down.
func (c *Core) PeerEndpoints(now time.Time, peer string, updates []endpoint.Update) Outputs {
	for _, update := range updates {
		held, known := c.endpoints.Get(update.ID)
		if !known || update.Compare(held) != 0 {
			c.mergeParentEndpoint(now, peer, update)
		}
	}
	return c.finish(now)
}

func (c *Core) mergeParentEndpoint(now time.Time, parent string, update endpoint.Update) {
	held, known := c.endpoints.Get(update.ID)
	child := c.sessions[c.origins[update.ID].session]
	if known && child != nil && c.contradicts(held, update) {
		c.forwardToChild(now, child, update)
		return
	}
	if known && update.Compare(held) < 0 {
		if child == nil && c.contradicts(update, held) {
			c.forwardToOrigin(parent, held)
		}
		return
	}
	if child != nil && update.Compare(held) == 0 {
		// The endpoint is also reported through another path. The child must be
		// told, or it would suspect the endpoint after losing its session.
		if child.allowRepeat(now, update.ID) {
			c.reply(child, update)
		}
		return
	}
	c.confirmEndpoint(origin{parent: parent}, update.ID)
	c.origins[update.ID] = origin{parent: parent}
	if c.endpoints.Merge(update) {
		c.broadcast(update, child)
		c.reply(child, update)
	}
}

// repeatInterval is the minimum time between two messages to one child that an
// endpoint is reported through another path. While daemons are attached in a
// cycle, such a message comes back to the daemon that sent it.
const repeatInterval = noticeResendDelay / 2

func (s *session) allowRepeat(now time.Time, id endpoint.ID) bool {
	if at, before := s.repeated[id]; before && now.Sub(at) < repeatInterval {
		return false
	}
	s.repeated[id] = now
	return true
}

// contradicts reports whether a down declaration made elsewhere conflicts with
// an endpoint that is held as not down in the same incarnation. If the endpoint
// is reported through a live session, the declaration is sent to that child
// alone, so that the authority can refute it.
func (c *Core) contradicts(held, update endpoint.Update) bool {
	return update.IsRelayOverride() && update.State == endpoint.Down &&
		update.Incarnation == held.Incarnation && update.Sequence > held.Sequence && held.State != endpoint.Down
}

// forwardToOrigin sends a down declaration to the node through which the
// endpoint is reported, so that its authority can refute it. That node does not
// accept the declaration, and only a later update by the authority replaces it
// here.
func (c *Core) forwardToOrigin(toward string, declared endpoint.Update) {
	if peer := c.byNode[toward]; peer != nil {
		c.reply(peer, declared)
		return
	}
	c.contested = append(c.contested, declared)
}

// forwardDeclaration sends a child's down declaration to the node through which
// the endpoint is reported. It returns false if that is the child itself or if
// no other origin can be reached.
func (c *Core) forwardDeclaration(now time.Time, from *session, declared endpoint.Update) bool {
	source := c.origins[declared.ID]
	if other := c.sessions[source.session]; other != nil {
		if other == from {
			return false
		}
		c.forwardToChild(now, other, declared)
		return true
	}
	if source.parent == "" || c.source.Detached || (c.isStoreReader() && c.byNode[source.parent] == nil) {
		return false
	}
	c.forwardToOrigin(source.parent, declared)
	c.dispute(now, declared)
	return true
}

// forwardToChild sends a declaration to the child through which the endpoint is
// reported. A proxy is the endpoint's authority. A control daemon may itself
// have learned of the endpoint from this relay, so its answer is awaited as a
// dispute.
func (c *Core) forwardToChild(now time.Time, child *session, declared endpoint.Update) {
	c.reply(child, declared)
	if child.kind == distribution.ChildControl {
		c.dispute(now, declared)
	}
}

// disputeTimeout is how long an authority may take to refute a declaration.
const disputeTimeout = 2 * time.Second

// dispute is a declaration that was forwarded for refutation and not applied.
type dispute struct {
	at       time.Time
	declared endpoint.Update
}

func (c *Core) dispute(now time.Time, declared endpoint.Update) {
	same := func(held dispute) bool { return held.declared.ID == declared.ID }
	if !slices.ContainsFunc(c.disputes, same) {
		c.disputes = append(c.disputes, dispute{at: now.Add(disputeTimeout), declared: declared})
	}
}

// resolveDisputes applies the declarations that were not refuted in time. The
// node they were forwarded to may not lead to the authority, but an applied
// declaration reaches every relay, including the one that the authority reports
// to.
func (c *Core) resolveDisputes(now time.Time) {
	var waiting []dispute
	for _, dispute := range c.disputes {
		if now.Before(dispute.at) {
			waiting = append(waiting, dispute)
			continue
		}
		held, _ := c.endpoints.Get(dispute.declared.ID)
		if c.contradicts(held, dispute.declared) {
			c.applyDeclaration(dispute.declared)
		}
	}
	c.disputes = waiting
}

// reply sends a child an update about an endpoint that the child reported.
func (c *Core) reply(child *session, update endpoint.Update) {
	if child == nil {
		return
	}
	child.replies = append(child.replies, update)
	c.sendPending(child)
}

// Endpoints returns the newest update of every endpoint, sorted by service and
// name.
func (c *Core) Endpoints() []endpoint.Update { return c.endpoints.All() }

// mergeChildEndpoints merges endpoint states from a child. They are sent to the
// other children and to the parent.
func (c *Core) mergeChildEndpoints(now time.Time, from *session, updates []endpoint.Update) {
	for _, update := range updates {
		held, known := c.endpoints.Get(update.ID)
		if known && update.Compare(held) < 0 {
			c.reply(from, held)
			continue
		}
		if known && c.contradicts(held, update) && c.forwardDeclaration(now, from, update) {
			continue
		}
		before := c.origins[update.ID]
		c.origins[update.ID] = origin{session: from.id}
		if c.endpoints.Merge(update) {
			c.upward[update.ID] = struct{}{}
			c.broadcast(update, from)
			continue
		}
		c.endpointMoved(now, update, before, from)
	}
	if c.isLeaving(now, from) {
		c.declareLeaving(from)
	}
}

// noticeResendDelay is how long after the first notice that an endpoint moved a
// second one is sent. The first may arrive before the former parent has lost
// the child, and is then ignored.
const noticeResendDelay = time.Second

// notice tells the former origin of an endpoint that the endpoint is now
// reported through this relay.
type notice struct {
	at     time.Time
	update endpoint.Update
	// former is the child of this relay that reported the endpoint before; zero
	// if none.
	former SessionID
}

// endpointMoved handles an update already held that now arrives through another
// child. The former origin must be told, or it would declare the endpoint down.
func (c *Core) endpointMoved(now time.Time, update endpoint.Update, before origin, through *session) {
	if before.session == through.id {
		return
	}
	if before.session == 0 {
		c.upward[update.ID] = struct{}{}
	}
	first := notice{at: now.Add(noticeResendDelay), update: update, former: before.session}
	c.sendNotice(first)
	c.notices = append(c.notices, first)
}

// sendNotice sends a notice to the former child and to the peers. The peers are
// always included, because a peer may have recorded one of its own children as
// the origin, whatever this relay recorded.
func (c *Core) sendNotice(notice notice) {
	c.broadcastToPeers(notice.update, c.sessions[c.origins[notice.update.ID].session])
	former := c.sessions[notice.former]
	if former != nil && former.kind == distribution.ChildControl {
		c.reply(former, notice.update)
	}
}

// resendNotices sends the notices that are due a second time, unless the
// endpoint has changed since.
func (c *Core) resendNotices(now time.Time) {
	var waiting []notice
	for _, notice := range c.notices {
		held, _ := c.endpoints.Get(notice.update.ID)
		switch {
		case now.Before(notice.at):
			waiting = append(waiting, notice)
		case held.Compare(notice.update) == 0:
			c.sendNotice(notice)
		}
	}
	c.notices = waiting
}

func (c *Core) broadcast(update endpoint.Update, except *session) {
	for _, session := range c.order {
		if session != except && session.entitledTo(update) {
			session.pendingEndpoints[update.ID] = struct{}{}
			c.sendPending(session)
		}
	}
}

func (c *Core) broadcastToPeers(update endpoint.Update, except *session) {
	for _, session := range c.order {
		if session != except && session.isReader {
			session.pendingEndpoints[update.ID] = struct{}{}
			c.sendPending(session)
		}
	}
}

// entitledTo reports whether the child may receive the endpoint. A proxy
// receives only endpoints of services in its snapshot, in the zones allowed for
// them.
func (s *session) entitledTo(update endpoint.Update) bool {
	if s.class == nil {
		return true
	}
	service := s.class.current.Services[update.ID.Service]
	return service != nil && slices.Contains(service.AllowedZones, update.Zone)
}

func (c *Core) queueAllEndpoints(session *session) {
	for _, update := range c.endpoints.All() {
		if session.entitledTo(update) {
			session.pendingEndpoints[update.ID] = struct{}{}
		}
	}
}

// drainEndpoints empties the session's pending endpoints and replies. For a
// peer reader, heard contains the endpoints that this reader received from
// another reader.
func (c *Core) drainEndpoints(session *session) (updates, heard []endpoint.Update) {
	if len(session.pendingEndpoints)+len(session.replies) == 0 {
		return nil, nil
	}
	isPeer := c.isStoreReader() && session.isReader
	for _, update := range c.newest(session.pendingEndpoints) {
		if isPeer && c.origins[update.ID].parent != "" {
			heard = append(heard, update)
			continue
		}
		updates = append(updates, update)
	}
	updates = append(updates, session.replies...)
	clear(session.pendingEndpoints)
	session.replies = nil
	return updates, heard
}

// isStoreReader reports whether this relay is a store reader.
func (c *Core) isStoreReader() bool { return c.source.Hops == 0 && !c.source.Detached }

// newest returns the newest updates of a set of endpoints, sorted by id.
func (c *Core) newest(ids map[endpoint.ID]struct{}) []endpoint.Update {
	updates := make([]endpoint.Update, 0, len(ids))
	for id := range ids {
		if update, known := c.endpoints.Get(id); known {
			updates = append(updates, update)
		}
	}
	slices.SortFunc(updates, func(a, b endpoint.Update) int { return a.ID.Compare(b.ID) })
	return updates
}

// endpointMessage returns a message with only the pending endpoints. In the
// common case of a single changed endpoint, all children share one message.
func (s *session) endpointMessage(c *Core) *distribution.Message {
	updates, heard := c.drainEndpoints(s)
	if len(updates) != 1 || len(heard) > 0 {
		return &distribution.Message{Version: s.version, Endpoints: updates, Heard: heard}
	}
	last := c.shared.endpoint
	if last != nil && last.Version == s.version && sameUpdate(last.Endpoints[0], updates[0]) {
		return last
	}
	c.shared.endpoint = &distribution.Message{Version: s.version, Endpoints: updates}
	return c.shared.endpoint
}

func sameUpdate(a, b endpoint.Update) bool { return a.ID == b.ID && a.Compare(b) == 0 }

// reportEndpoints adds endpoints learned from children, and contested
// declarations, to the report to the parent.
func (c *Core) reportEndpoints() {
	if len(c.upward)+len(c.contested) == 0 {
		return
	}
	c.report().Endpoints = append(c.newest(c.upward), c.contested...)
	clear(c.upward)
	c.contested = nil
}

func (c *Core) report() *distribution.Report {
	if c.outputs.Report == nil {
		c.outputs.Report = &distribution.Report{Node: c.node, Applied: c.state.Version()}
	}
	return c.outputs.Report
}
