package relay

import (
	"maps"
	"slices"
	"strings"

	"github.com/kestrelstream/kestrelstream/internal/distribution"
	"github.com/kestrelstream/kestrelstream/internal/projection"
	"github.com/kestrelstream/kestrelstream/internal/resource"
)

// class holds the configuration shared by all proxies with the same
// entitlement. It is computed once for all of them.
type class struct {
	entitlement projection.Entitlement
	current     *projection.Snapshot
	// past holds earlier snapshots with different content, newest last.
	past []*projection.Snapshot
	// visible encodes the services and zones whose endpoints the class may see.
	visible string
	members int

	// snapshot and deltas cache the messages that bring sessions of the class
	// to current.
	snapshot *distribution.Message
	deltas   map[string]*distribution.Message
}

// sharedMessages caches messages that are identical for every session of the
// relay.
type sharedMessages struct {
	versionOnly *distribution.Message
	checkpoint  *distribution.Message
	entries     map[uint64]*distribution.Message
	endpoint    *distribution.Message
}

func (s *sharedMessages) reset() { *s = sharedMessages{} }

func (c *Core) classOf(entitlement projection.Entitlement) *class {
	key := entitlement.Class()
	held := c.classes[key]
	if held == nil {
		held = &class{entitlement: entitlement}
		held.current = c.config.Project(c.state, entitlement)
		held.visible = visibleServices(held.current)
		held.deltas = map[string]*distribution.Message{}
		c.classes[key] = held
	}
	return held
}

// rebuild recomputes the class's snapshot from the relay's state.
func (k *class) rebuild(c *Core) { k.replace(c, c.config.Project(c.state, k.entitlement)) }

// advance applies one entry. It recomputes the snapshot only if the entry can
// affect what the class sees.
func (k *class) advance(c *Core, entry resource.Entry) {
	if k.affectedBy(entry) {
		k.rebuild(c)
		return
	}
	k.replace(c, k.current.WithVersion(entry.Version))
}

func (k *class) replace(c *Core, next *projection.Snapshot) {
	if next.Digest != k.current.Digest {
		k.past = append(k.past, k.current)
		if len(k.past) > c.config.HistoryLength {
			k.past = slices.Clone(k.past[1:])
		}
		k.visible = visibleServices(next)
	}
	k.current = next
	k.snapshot = nil
	clear(k.deltas)
}

// visibleServices returns an encoding of the services and their allowed zones.
// Snapshots that admit the same endpoints have equal encodings.
func visibleServices(snapshot *projection.Snapshot) string {
	var text strings.Builder
	for _, name := range slices.Sorted(maps.Keys(snapshot.Services)) {
		text.WriteString(name + "=" + strings.Join(snapshot.Services[name].AllowedZones, ",") + ";")
	}
	return text.String()
}

// affectedBy reports whether the entry may alter the class's snapshot. It may
// return true for an entry that alters nothing.
func (k *class) affectedBy(entry resource.Entry) bool {
	for _, batch := range entry.Batches {
		for _, change := range batch.Changes {
			if k.affectedByChange(change) {
				return true
			}
		}
	}
	return false
}

func (k *class) affectedByChange(change resource.Change) bool {
	target := change.Target()
	switch target.Kind {
	case resource.KindRoute:
		return k.current.Routes[target.Name] != nil || (change.Action == resource.ActionPut && k.admits(change.Resource.Route))
	case resource.KindSecret:
		return k.current.Secrets[target.Name] != nil
	case resource.KindService:
		return k.current.Services[target.Name] != nil || slices.Contains(k.entitlement.Services, target.Name)
	case resource.KindPlacement:
		// A placement names its service in its spec, which may have named a
		// different service before this change.
		return true
	default:
		return true
	}
}

func (k *class) admits(route *resource.RouteSpec) bool {
	for _, consumer := range route.Consumers {
		if consumer == resource.AnyConsumer || slices.Contains(k.entitlement.Services, consumer) {
			return true
		}
	}
	return false
}

// messageFrom returns the message that brings a session from the content it
// holds to the class's current snapshot.
func (k *class) messageFrom(c *Core, version uint64, digest string) *distribution.Message {
	if digest == k.current.Digest {
		return c.versionOnly()
	}
	if base := k.pastSnapshot(digest); base != nil && !c.config.AlwaysSnapshot {
		return k.deltaFrom(base)
	}
	if k.snapshot == nil {
		k.snapshot = &distribution.Message{Version: k.current.Version, Snapshot: k.current}
	}
	return k.snapshot
}

func (k *class) pastSnapshot(digest string) *projection.Snapshot {
	for _, snapshot := range slices.Backward(k.past) {
		if snapshot.Digest == digest {
			return snapshot
		}
	}
	return nil
}

func (k *class) deltaFrom(base *projection.Snapshot) *distribution.Message {
	message := k.deltas[base.Digest]
	if message == nil {
		message = &distribution.Message{Version: k.current.Version, Delta: projection.Diff(base, k.current)}
		k.deltas[base.Digest] = message
	}
	return message
}

func (c *Core) versionOnly() *distribution.Message {
	if c.shared.versionOnly == nil {
		c.shared.versionOnly = &distribution.Message{Version: c.state.Version()}
	}
	return c.shared.versionOnly
}

// controlMessageFrom returns the message that brings a control child from a
// version to the relay's state: the missing entries, or a checkpoint if the
// tail does not reach back to that version.
func (c *Core) controlMessageFrom(version uint64) *distribution.Message {
	missing := c.state.Version() - version
	if missing == 0 {
		return c.versionOnly()
	}
	if missing > uint64(len(c.tail)) {
		return c.checkpointMessage()
	}
	if message := c.shared.entries[version]; message != nil {
		return message
	}
	message := &distribution.Message{
		Version: c.state.Version(),
		Entries: slices.Clone(c.tail[uint64(len(c.tail))-missing:]),
	}
	if c.shared.entries == nil {
		c.shared.entries = map[uint64]*distribution.Message{}
	}
	c.shared.entries[version] = message
	return message
}

func (c *Core) checkpointMessage() *distribution.Message {
	if c.shared.checkpoint == nil {
		checkpoint := &distribution.Checkpoint{Version: c.state.Version(), Resources: c.state.All()}
		c.shared.checkpoint = &distribution.Message{Version: c.state.Version(), Checkpoint: checkpoint}
	}
	return c.shared.checkpoint
}
