package simulation

import (
	"errors"
	"time"

	"github.com/kestrelstream/kestrelstream/internal/distribution"
	"github.com/kestrelstream/kestrelstream/internal/distribution/control"
	"github.com/kestrelstream/kestrelstream/internal/distribution/relay"
	"github.com/kestrelstream/kestrelstream/internal/distribution/subscriber"
)

var errLost = errors.New("connection lost")

// runDaemon carries out what a daemon's core asks for.
func (w *World) runDaemon(n *node, outputs control.Outputs) {
	for _, refusal := range outputs.Refusals {
		w.refuse(n, refusal)
	}
	w.sendAll(n, outputs.Sends)
	for _, id := range outputs.Closes {
		if c := n.sessions[id]; c != nil {
			delete(n.sessions, id)
			w.dropEnd(c, endParent, false)
		}
	}
	for _, uplink := range outputs.Uplinks {
		w.runUplink(n, uplink.Uplink, uplink.Disconnect, uplink.Connect, uplink.Report)
	}
	if outputs.CancelWatch {
		w.store.cancelWatch(n)
	}
	for _, request := range outputs.Store {
		w.store.request(n, request)
	}
	w.checker.daemonSettled(n)
}

// runUplink carries out what a child's core asks for on one stream.
func (w *World) runUplink(n *node, uplink string, disconnect bool, connect *subscriber.Connect, report *distribution.Report) {
	if disconnect || connect != nil {
		if c := n.uplinks[uplink]; c != nil {
			delete(n.uplinks, uplink)
			w.dropEnd(c, endChild, false)
		}
	}
	if connect != nil {
		w.connect(n, uplink, *connect)
	}
	if report != nil {
		w.sendReport(n, uplink, *report)
	}
}

// handshakeDelays is how many one-way delays pass until the hello arrives: the
// connection's opening and the request.
const handshakeDelays = 3

// connect opens a stream: the hello reaches the parent, unless nobody answers.
func (w *World) connect(child *node, uplink string, connect subscriber.Connect) {
	parent := w.byName[connect.Parent.Node]
	c := &connection{child: child, parent: parent, uplink: uplink}
	child.uplinks[uplink] = c
	w.account(child, parent, kindHello, w.sizes.hello(connect.Hello))
	if w.network.cut(child.zone, parent.zone) {
		c.broken = true
		return
	}
	at := w.clock.now + handshakeDelays*w.network.between(child, parent)
	hello := connect.Hello
	w.mutateHello(child, &hello)
	w.clock.at(at, func() { w.arrive(c, hello) })
}

// arrive has the hello reach the parent's machine: a dead process refuses the
// connection, a dead machine stays silent.
func (w *World) arrive(c *connection, hello distribution.Hello) {
	if c.broken || c.closed[endChild] {
		return
	}
	if !c.parent.alive {
		if !c.parent.machineDown {
			w.deliver(c.child, w.clock.now+w.network.between(c.parent, c.child), func() { w.childLost(c) })
		}
		return
	}
	w.deliver(c.parent, w.clock.now, func() { w.attach(c, hello) })
}

func (w *World) attach(c *connection, hello distribution.Hello) {
	if c.broken || c.closed[endChild] {
		return
	}
	w.trace(traceHello, c.parent.index, hello.Version)
	w.nextSession++
	c.session = w.nextSession
	c.parent.sessions[c.session] = c
	outputs := c.parent.control.Attach(w.clock.time(), c.session, hello)
	if len(outputs.Refusals) == 0 {
		c.floor = c.parent.control.Relay().Floor(c.child.zone)
		c.lastDown = max(w.clock.now+w.network.between(c.parent, c.child), c.lastDown)
		w.deliver(c.child, c.lastDown, func() { w.childConnected(c) })
	}
	w.runDaemon(c.parent, outputs)
}

func (w *World) childConnected(c *connection) {
	if !w.live(c) {
		return
	}
	now := w.clock.time()
	if c.child.proxy != nil {
		w.runProxy(c.child, c.child.proxy.subscriber.Connected(now))
		return
	}
	w.runDaemon(c.child, c.child.control.UplinkConnected(now, c.uplink))
}

// live reports whether the stream is still the child's and carries messages.
func (w *World) live(c *connection) bool {
	return !c.broken && !c.closed[endChild] && c.child.uplinks[c.uplink] == c
}

func (w *World) refuse(parent *node, refusal relay.Refusal) {
	c := parent.sessions[refusal.Session]
	delete(parent.sessions, refusal.Session)
	c.closed[endParent] = true
	w.count.refusals++
	at := w.clock.now + w.network.between(parent, c.child)
	w.account(parent, c.child, kindRefusal, refusalBytes)
	w.deliver(c.child, at, func() {
		if !w.live(c) {
			return
		}
		delete(c.child.uplinks, c.uplink)
		c.closed[endChild] = true
		w.childRefused(c, refusal.RetryAfter)
	})
}

func (w *World) childRefused(c *connection, retryAfter time.Duration) {
	now := w.clock.time()
	if c.child.proxy != nil {
		w.runProxy(c.child, c.child.proxy.subscriber.Refused(now, retryAfter))
		return
	}
	w.runDaemon(c.child, c.child.control.UplinkRefused(now, c.uplink, retryAfter))
}

// childLost tells the child that its stream or attempt ended.
func (w *World) childLost(c *connection) {
	if c.closed[endChild] || c.child.uplinks[c.uplink] != c {
		return
	}
	delete(c.child.uplinks, c.uplink)
	c.closed[endChild] = true
	now := w.clock.time()
	if c.child.proxy != nil {
		w.runProxy(c.child, c.child.proxy.subscriber.Disconnected(now, errLost))
		return
	}
	w.runDaemon(c.child, c.child.control.UplinkDisconnected(now, c.uplink, errLost))
}

// parentLost tells the parent that a session's stream ended.
func (w *World) parentLost(c *connection) {
	if c.closed[endParent] || c.parent.sessions[c.session] != c {
		return
	}
	delete(c.parent.sessions, c.session)
	c.closed[endParent] = true
	w.runDaemon(c.parent, c.parent.control.Detach(w.clock.time(), c.session))
}

// delivery is one message on its way to one child.
type delivery struct {
	connection *connection
	message    *distribution.Message
	start      int
}

// sendAll puts messages on their way. Those with the same arrival share one
// event, which is exact: they would follow each other anyway.
func (w *World) sendAll(parent *node, sends []relay.Send) {
	if len(sends) == 0 {
		return
	}
	share := w.network.random.Float64()
	var batch []delivery
	var batchAt time.Duration
	for _, send := range sends {
		c := parent.sessions[send.Session]
		if c == nil {
			continue
		}
		at, carried := w.putDown(c, send.Message, share)
		if !carried {
			continue
		}
		if len(batch) > 0 && at != batchAt {
			w.flushBatch(batchAt, batch)
			batch = nil
		}
		batchAt = at
		batch = append(batch, delivery{c, send.Message, c.child.starts})
	}
	if len(batch) > 0 {
		w.flushBatch(batchAt, batch)
	}
	for _, send := range sends {
		w.confirmSent(parent, send)
	}
}

// putDown accounts for one message and returns when it arrives; false when it
// never does.
func (w *World) putDown(c *connection, message *distribution.Message, share float64) (time.Duration, bool) {
	w.accountMessage(c, message)
	if c.broken {
		return 0, false
	}
	delay := w.network.delay(c.parent.zone, c.child.zone)
	jitter := time.Duration(float64(delay) * share * float64(w.scenario.Latency.JitterPercent) / 100)
	at := w.clock.now + delay + jitter + c.parent.delay + c.child.delay
	c.lastDown = max(at, c.lastDown)
	return c.lastDown, true
}

func (w *World) flushBatch(at time.Duration, batch []delivery) {
	w.clock.at(at, func() {
		for _, delivery := range batch {
			w.arriveMessage(delivery)
		}
	})
}

func (w *World) arriveMessage(d delivery) {
	child := d.connection.child
	if !child.alive || child.starts != d.start {
		return
	}
	if w.clock.now < child.pausedUntil {
		w.clock.at(child.pausedUntil, func() { w.arriveMessage(d) })
		return
	}
	w.receive(d.connection, d.message)
	w.wake(child)
}

func (w *World) receive(c *connection, message *distribution.Message) {
	if !w.live(c) {
		return
	}
	w.count.delivered++
	w.trace(traceMessage, c.child.index, message.Version)
	now := w.clock.time()
	if c.child.proxy != nil {
		w.receiveAtProxy(c, message)
		return
	}
	w.runDaemon(c.child, c.child.control.UplinkReceived(now, c.uplink, w.mutateMessage(message)))
}

// confirmSent tells the relay that a message was written: at once, or, toward
// a child that takes nothing, when it goes on.
func (w *World) confirmSent(parent *node, send relay.Send) {
	c := parent.sessions[send.Session]
	if c == nil {
		return
	}
	stalled := max(c.child.pausedUntil, w.clock.now+c.child.delay)
	if c.broken {
		return
	}
	if stalled > w.clock.now {
		w.deliver(parent, stalled, func() {
			if parent.sessions[send.Session] == c {
				w.runDaemon(parent, parent.control.Sent(w.clock.time(), send.Session))
			}
		})
		return
	}
	w.runDaemon(parent, parent.control.Sent(w.clock.time(), send.Session))
}

func (w *World) sendReport(child *node, uplink string, report distribution.Report) {
	c := child.uplinks[uplink]
	if c == nil {
		return
	}
	w.account(child, c.parent, kindReport, w.sizes.report(report))
	w.account(c.parent, child, kindReportReply, reportReplyBytes)
	if c.broken {
		return
	}
	c.lastUp = max(w.clock.now+w.network.between(child, c.parent), c.lastUp)
	w.deliver(c.parent, c.lastUp, func() {
		if c.broken || c.parent.sessions[c.session] != c {
			return
		}
		w.count.reports++
		w.trace(traceReport, c.parent.index, report.Applied)
		w.checker.reported(c, report)
		w.runDaemon(c.parent, c.parent.control.Report(w.clock.time(), c.session, report))
	})
}
