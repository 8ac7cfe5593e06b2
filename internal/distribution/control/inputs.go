package control

import (
	"time"

	"github.com/kestrelstream/kestrelstream/internal/distribution"
	"github.com/kestrelstream/kestrelstream/internal/distribution/reader"
	"github.com/kestrelstream/kestrelstream/internal/distribution/relay"
	"github.com/kestrelstream/kestrelstream/internal/distribution/subscriber"
	"github.com/kestrelstream/kestrelstream/internal/resource"
)

// Attach opens a session for a child. It refuses the daemon's own parent, since
// the two could stay attached to each other with no path to a reader.
func (c *Core) Attach(now time.Time, id relay.SessionID, hello distribution.Hello) Outputs {
	if parent, attached := c.uplink.Parent(); attached && parent.Node == hello.Node.Name {
		refusal := relay.Refusal{Session: id, Reason: relay.ReasonLoop, RetryAfter: c.config.Relay.RetryAfter}
		c.outputs.Refusals = append(c.outputs.Refusals, refusal)
		return c.finish(now)
	}
	c.setReaders(now, hello.Readers)
	c.applyRelayOutputs(now, c.relay.Attach(now, id, hello))
	return c.finish(now)
}

// Detach ends a session whose stream was lost.
func (c *Core) Detach(now time.Time, id relay.SessionID) Outputs {
	c.applyRelayOutputs(now, c.relay.Detach(now, id))
	return c.finish(now)
}

// Sent reports that the session's message was written.
func (c *Core) Sent(now time.Time, id relay.SessionID) Outputs {
	c.applyRelayOutputs(now, c.relay.Sent(now, id))
	return c.finish(now)
}

// Report processes a child's report.
func (c *Core) Report(now time.Time, id relay.SessionID, report distribution.Report) Outputs {
	c.applyRelayOutputs(now, c.relay.Report(now, id, report))
	return c.finish(now)
}

// MachineLeaving reports that the platform lists a machine as leaving.
func (c *Core) MachineLeaving(now time.Time, node string) Outputs {
	c.applyRelayOutputs(now, c.relay.MachineLeaving(now, node))
	return c.finish(now)
}

// UplinkConnected reports that a parent or peer accepted the stream.
func (c *Core) UplinkConnected(now time.Time, uplink string) Outputs {
	return c.applyUplinkInput(now, uplink, func(s *subscriber.Core) subscriber.Outputs { return s.Connected(now) })
}

// UplinkRefused reports that a parent or peer refused the attach request.
func (c *Core) UplinkRefused(now time.Time, uplink string, retryAfter time.Duration) Outputs {
	return c.applyUplinkInput(now, uplink, func(s *subscriber.Core) subscriber.Outputs { return s.Refused(now, retryAfter) })
}

// UplinkReceived processes a message received on an uplink.
func (c *Core) UplinkReceived(now time.Time, uplink string, message *distribution.Message) Outputs {
	return c.applyUplinkInput(now, uplink, func(s *subscriber.Core) subscriber.Outputs { return s.Received(now, message) })
}

// UplinkDisconnected reports that a connection attempt failed or a stream ended.
func (c *Core) UplinkDisconnected(now time.Time, uplink string, err error) Outputs {
	return c.applyUplinkInput(now, uplink, func(s *subscriber.Core) subscriber.Outputs { return s.Disconnected(now, err) })
}

func (c *Core) applyUplinkInput(now time.Time, uplink string, input func(*subscriber.Core) subscriber.Outputs) Outputs {
	if core := c.findSubscriber(uplink); core != nil {
		c.applyUplinkOutputs(now, uplink, input(core))
	}
	return c.finish(now)
}

// findSubscriber returns the subscriber of an uplink, or nil if the peer is no
// longer a reader.
func (c *Core) findSubscriber(uplink string) *subscriber.Core {
	if uplink == ParentUplink {
		return c.uplink
	}
	return c.peers[uplink]
}

// Acquired delivers the result of reader.Acquire and the holders of the slots.
func (c *Core) Acquired(now time.Time, held bool, readers []distribution.Reader, err error) Outputs {
	c.setReaders(now, readers)
	c.applyReaderOutputs(c.reader.Acquired(now, held, err))
	return c.finish(now)
}

// Renewed delivers the result of reader.Renew.
func (c *Core) Renewed(now time.Time, err error) Outputs {
	c.applyReaderOutputs(c.reader.Renewed(now, err))
	return c.finish(now)
}

// Loaded delivers the result of reader.Load: a checkpoint if one was needed, the
// entries after it or after the current version, and the store's revision.
func (c *Core) Loaded(now time.Time, checkpoint *distribution.Checkpoint, entries []resource.Entry, revision uint64, err error) Outputs {
	if err == nil {
		c.applyContent(now, checkpoint, entries)
	}
	c.applyReaderOutputs(c.reader.Loaded(now, revision, err))
	return c.finish(now)
}

// Watching delivers the result of reader.Watch.
func (c *Core) Watching(now time.Time, err error) Outputs {
	c.applyReaderOutputs(c.reader.Watching(now, err))
	return c.finish(now)
}

// WatchEntry processes an entry delivered by the watch.
func (c *Core) WatchEntry(now time.Time, entry resource.Entry, revision uint64) Outputs {
	c.reader.WatchEvent(revision)
	c.applyContent(now, nil, []resource.Entry{entry})
	return c.finish(now)
}

// WatchEnded reports that the running watch ended.
func (c *Core) WatchEnded(now time.Time, err error) Outputs {
	c.applyReaderOutputs(c.reader.WatchEnded(now, err))
	return c.finish(now)
}

// Polled delivers the result of reader.Poll: the entries after the version that
// was current when the poll began, and the store's revision.
func (c *Core) Polled(now time.Time, entries []resource.Entry, revision uint64, err error) Outputs {
	before := c.relay.State().Version()
	if err == nil {
		c.applyContent(now, nil, entries)
	}
	missed := c.relay.State().Version() != before
	c.applyReaderOutputs(c.reader.Polled(now, missed, revision, err))
	return c.finish(now)
}

func (c *Core) applyContent(now time.Time, checkpoint *distribution.Checkpoint, entries []resource.Entry) {
	before := c.relay.State().Version()
	if checkpoint != nil {
		c.applyRelayOutputs(now, c.relay.Restore(now, *checkpoint))
	}
	if len(entries) > 0 {
		c.applyRelayOutputs(now, c.relay.Advance(now, entries))
	}
	if version := c.relay.State().Version(); version != before {
		c.notifyApplied(now, version)
	}
}

// notifyApplied reports the version that this daemon has applied to every uplink.
func (c *Core) notifyApplied(now time.Time, version uint64) {
	c.applyUplinkOutputs(now, ParentUplink, c.uplink.Applied(now, version))
	for _, name := range c.peerNames() {
		c.applyUplinkOutputs(now, name, c.peers[name].Applied(now, version))
	}
}

func (c *Core) setReaders(now time.Time, readers []distribution.Reader) {
	if len(readers) == 0 {
		return
	}
	before := c.relay.Readers()
	c.applyRelayOutputs(now, c.relay.SetReaders(now, readers))
	if !sameReaders(before, c.relay.Readers()) {
		c.refreshParents(now)
	}
}

func sameReaders(a, b []distribution.Reader) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

func (c *Core) applyReaderOutputs(outputs reader.Outputs) {
	c.outputs.CancelWatch = c.outputs.CancelWatch || outputs.CancelWatch
	c.outputs.Store = append(c.outputs.Store, outputs.Requests...)
}

func (c *Core) applyRelayOutputs(now time.Time, outputs relay.Outputs) {
	c.outputs.Sends = append(c.outputs.Sends, outputs.Sends...)
	c.outputs.Refusals = append(c.outputs.Refusals, outputs.Refusals...)
	c.outputs.Closes = append(c.outputs.Closes, outputs.Closes...)
	if outputs.Report != nil && !c.holdsSlot {
		c.applyUplinkOutputs(now, ParentUplink, c.uplink.Forward(now, *outputs.Report))
	}
}

// applyUplinkOutputs processes what a parent or peer sent and queues the actions
// for the caller.
func (c *Core) applyUplinkOutputs(now time.Time, uplink string, outputs subscriber.Outputs) {
	if outputs.Connect != nil && uplink != ParentUplink {
		outputs.Connect.Hello.Readers = c.relay.Readers()
	}
	if outputs.Disconnect || outputs.Connect != nil || outputs.Report != nil {
		c.outputs.Uplinks = append(c.outputs.Uplinks, UplinkOutput{
			Uplink: uplink, Disconnect: outputs.Disconnect, Connect: outputs.Connect, Report: outputs.Report,
		})
	}
	from := c.parentOf(uplink)
	if outputs.LostParent != "" {
		c.applyRelayOutputs(now, c.relay.ParentLost(now, outputs.LostParent))
	}
	if outputs.AttachedTo != "" && uplink == ParentUplink {
		c.applyRelayOutputs(now, c.relay.ParentAttached(now))
	}
	if len(outputs.Zones) > 0 {
		c.applyRelayOutputs(now, c.relay.ParentZones(now, from, outputs.Zones))
	}
	if outputs.Checkpoint != nil || len(outputs.Entries) > 0 {
		c.applyContent(now, outputs.Checkpoint, outputs.Entries)
	}
	if len(outputs.Endpoints) > 0 {
		c.applyRelayOutputs(now, c.relay.ParentEndpoints(now, from, outputs.Endpoints))
	}
	if len(outputs.Heard) > 0 {
		c.applyRelayOutputs(now, c.relay.PeerEndpoints(now, from, outputs.Heard))
	}
	c.setReaders(now, outputs.Readers)
}

func (c *Core) parentOf(uplink string) string {
	if uplink != ParentUplink {
		return uplink
	}
	parent, _ := c.uplink.Parent()
	return parent.Node
}
