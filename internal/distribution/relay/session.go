package relay

import (
	"cmp"
	"slices"
	"time"

	"github.com/kestrelstream/kestrelstream/internal/distribution"
	"github.com/kestrelstream/kestrelstream/internal/endpoint"
)

// session is one attached child. Its size is bounded: behind the message in
// flight it records only which version the child has and which endpoints
// changed since.
type session struct {
	id    SessionID
	node  distribution.Node
	kind  distribution.ChildKind
	class *class
	// isReader reports whether the child is a store reader.
	isReader bool

	// version and digest describe what the child will hold once the message in
	// flight has arrived.
	version uint64
	digest  string
	// visible is the class's encoding of visible services at the time endpoints
	// were last queued for the child.
	visible string
	// applied is the version that the child last reported as applied.
	applied uint64
	failure *distribution.ApplyFailure
	// expiry is the expiry of the child's certificate; nil without mutual TLS.
	expiry *distribution.Expiry

	inFlight           bool
	inFlightSince      time.Time
	inSnapshot         bool
	lastReportAt       time.Time
	sentSinceHeartbeat bool

	pendingEndpoints map[endpoint.ID]struct{}
	pendingZones     map[zoneKey]struct{}
	// release states which pending summaries may be sent now, and zonesAt when
	// all of them may be. floorDue is set if the pending summaries raise the
	// floor of the child's own zone. floorSent is the highest version in force
	// in that zone that was sent to the child.
	release release
	zonesAt time.Time
	// zonesScheduled is set once zonesAt is chosen for the pending summaries,
	// so that a late tick does not postpone it again.
	zonesScheduled bool
	floorDue       bool
	floorSent      uint64
	// repeated records when the child was last told that an endpoint it
	// reported is also reported through another path.
	repeated map[endpoint.ID]time.Time
	// replies holds updates about endpoints that the child itself reported.
	replies    []endpoint.Update
	sourceDue  bool
	readersDue bool
	goodbyeDue bool
}

// Attach opens a session for a child. It refuses the child if, among other
// reasons, the relay holds an older version than the child, or than the version
// known to be in force in a proxy's zone.
func (c *Core) Attach(now time.Time, id SessionID, hello distribution.Hello) Outputs {
	previous := c.byNode[hello.Node.Name]
	c.observeVersion(now, hello.Node, hello.Version)
	if reason, wait := c.refusal(now, hello, previous); reason != "" {
		c.outputs.Refusals = append(c.outputs.Refusals, Refusal{Session: id, Reason: reason, RetryAfter: wait})
		return c.finish(now)
	}
	if previous != nil {
		c.remove(now, previous)
		c.outputs.Closes = append(c.outputs.Closes, previous.id)
	}
	session := c.open(now, id, hello)
	c.mergeChildEndpoints(now, session, hello.Endpoints)
	c.sendPending(session)
	return c.finish(now)
}

func (c *Core) refusal(now time.Time, hello distribution.Hello, previous *session) (Reason, time.Duration) {
	switch {
	case previous != nil && previous.node.Incarnation > hello.Node.Incarnation:
		return ReasonStaleIncarnation, c.config.RetryAfter
	case c.state.Version() == 0 && (c.source.Detached || hello.Kind == distribution.ChildProxy):
		// An empty log is no reason to refuse a control daemon.
		return ReasonNotReady, c.config.RetryAfter
	case c.state.Version() < hello.Version:
		return ReasonBehind, c.config.RetryAfter
	case hello.Kind == distribution.ChildProxy && c.state.Version() < c.Floor(hello.Node.Zone):
		return ReasonBehind, c.config.RetryAfter
	case c.snapshots >= c.config.MaximumSnapshots && c.needsSnapshot(hello):
		return ReasonBusy, c.busyWait(now)
	default:
		return "", 0
	}
}

// busyWait returns the delay for a refused child. It grows with the number of
// children refused within an interval, so that their retries are spread out.
func (c *Core) busyWait(now time.Time) time.Duration {
	if now.Sub(c.refusedAt) >= c.config.RetryAfter {
		c.refused, c.refusedAt = 0, now
	}
	c.refused++
	rounds := 1 + c.refused/c.config.MaximumSnapshots
	return time.Duration(rounds) * c.config.RetryAfter
}

func (c *Core) needsSnapshot(hello distribution.Hello) bool {
	if hello.Kind == distribution.ChildControl {
		return c.state.Version()-hello.Version > uint64(len(c.tail))
	}
	class := c.classOf(hello.Entitlement)
	return hello.Digest != class.current.Digest && class.pastSnapshot(hello.Digest) == nil
}

func (c *Core) open(now time.Time, id SessionID, hello distribution.Hello) *session {
	opened := &session{
		id: id, node: hello.Node, kind: hello.Kind,
		version: hello.Version, digest: hello.Digest, applied: hello.Version,
		lastReportAt: now, sourceDue: true, isReader: len(hello.Readers) > 0,
		pendingEndpoints: map[endpoint.ID]struct{}{},
		repeated:         map[endpoint.ID]time.Time{},
		pendingZones:     map[zoneKey]struct{}{},
	}
	if !hello.CertificateExpires.IsZero() {
		opened.expiry = &distribution.Expiry{Node: hello.Node.Name, Time: hello.CertificateExpires}
	}
	if hello.Kind == distribution.ChildProxy {
		opened.class = c.classOf(hello.Entitlement)
		opened.class.members++
		opened.visible = opened.class.visible
	} else {
		opened.readersDue = true
		c.status.queueAll(opened)
	}
	c.sessions[id] = opened
	c.byNode[hello.Node.Name] = opened
	at, _ := slices.BinarySearchFunc(c.order, id, func(s *session, id SessionID) int { return cmp.Compare(s.id, id) })
	c.order = slices.Insert(c.order, at, opened)
	c.queueAllEndpoints(opened)
	c.childChanged(now, opened)
	return opened
}

// Detach closes the session of a child whose stream was lost.
func (c *Core) Detach(now time.Time, id SessionID) Outputs {
	if session := c.sessions[id]; session != nil {
		c.remove(now, session)
	}
	return c.finish(now)
}

func (c *Core) remove(now time.Time, gone *session) {
	c.clearInFlight(gone)
	delete(c.sessions, gone.id)
	if c.byNode[gone.node.Name] == gone {
		delete(c.byNode, gone.node.Name)
	}
	at, _ := slices.BinarySearchFunc(c.order, gone.id, func(s *session, id SessionID) int { return cmp.Compare(s.id, id) })
	c.order = slices.Delete(c.order, at, at+1)
	if gone.class != nil {
		gone.class.members--
		if gone.class.members == 0 {
			delete(c.classes, gone.class.entitlement.Class())
		}
	}
	c.suspectEndpointsOf(now, gone)
	c.suspectSummariesOf(now, gone)
}

// Sent records that the session's message was written, and sends the next one
// if there is any.
func (c *Core) Sent(now time.Time, id SessionID) Outputs {
	session := c.sessions[id]
	if session == nil {
		return c.finish(now)
	}
	c.clearInFlight(session)
	c.sendPending(session)
	return c.finish(now)
}

func (c *Core) clearInFlight(session *session) {
	session.inFlight = false
	if session.inSnapshot {
		session.inSnapshot = false
		c.snapshots--
	}
}

// sendPending sends the newest state to a session that has no message in
// flight. Content is held back while a batch window is open.
func (c *Core) sendPending(session *session) {
	if session.inFlight {
		return
	}
	message := c.contentMessage(session)
	message = session.withExtras(c, message)
	if message == nil {
		return
	}
	c.send(session, message)
}

func (c *Core) send(session *session, message *distribution.Message) {
	session.inFlight = true
	session.sentSinceHeartbeat = true
	if message.Snapshot != nil || message.Checkpoint != nil {
		session.inSnapshot = true
		c.snapshots++
	}
	c.outputs.Sends = append(c.outputs.Sends, Send{Session: session.id, Message: message})
}

// contentMessage returns the shared message that brings the session's
// configuration up to date, or nil if there is nothing to send.
func (c *Core) contentMessage(session *session) *distribution.Message {
	windowOpen := !c.flushAt.IsZero() && !session.sourceDue
	version := c.state.Version()
	if windowOpen || session.goodbyeDue || session.version > version {
		return nil
	}
	if session.class == nil {
		if session.version == version {
			return nil
		}
		message := c.controlMessageFrom(session.version)
		session.version = version
		return message
	}
	if session.version == version && session.digest == session.class.current.Digest {
		return nil
	}
	if session.visible != session.class.visible {
		session.visible = session.class.visible
		c.queueAllEndpoints(session)
	}
	message := session.class.messageFrom(c, session.version, session.digest)
	session.version, session.digest = version, session.class.current.Digest
	return message
}

// withExtras adds session-specific fields to a copy of a shared content
// message. Without such fields it returns the shared message itself.
func (s *session) withExtras(c *Core, content *distribution.Message) *distribution.Message {
	if !s.sourceDue && !s.readersDue && !s.goodbyeDue && s.release == releaseNone {
		if len(s.pendingEndpoints)+len(s.replies) == 0 {
			return content
		}
		if content == nil {
			return s.endpointMessage(c)
		}
	}
	message := &distribution.Message{Version: s.version}
	if content != nil {
		*message = *content
	}
	if s.sourceDue {
		source := c.sourceFor()
		message.Source, s.sourceDue = &source, false
	}
	if s.readersDue {
		message.Readers, s.readersDue = c.readers, false
	}
	message.Goodbye, s.goodbyeDue = s.goodbyeDue, false
	message.Zones = c.drainSummaries(s)
	message.Endpoints, message.Heard = c.drainEndpoints(s)
	return message
}

// heartbeat sends an empty message to every idle session. It closes sessions
// whose message could not be written in time and sessions that have been silent
// for too long.
func (c *Core) heartbeat(now time.Time) {
	c.heartbeatAt = time.Time{}
	for _, session := range slices.Clone(c.order) {
		if c.expired(now, session) {
			c.remove(now, session)
			c.outputs.Closes = append(c.outputs.Closes, session.id)
			continue
		}
		if !session.inFlight && !session.sentSinceHeartbeat {
			c.send(session, c.heartbeatMessage)
		}
		session.sentSinceHeartbeat = false
	}
}

func (c *Core) expired(now time.Time, session *session) bool {
	stuck := session.inFlight && now.Sub(session.inFlightSince) > c.config.SendTimeout
	return stuck || now.Sub(session.lastReportAt) > c.config.SessionSilence
}
