package exchange

import (
	"context"
	"sync"
	"sync/atomic"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/clock"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/roster"
)

const (
	// maxZonePeers bounds how many nodes of its own zone a node notifies of a change;
	// the others learn of it by exchanges.
	maxZonePeers = 32
	// relaysPerZone is the number of nodes of each other zone that receive a notice,
	// maxRelayAttempts the number tried to reach it.
	relaysPerZone    = 2
	maxRelayAttempts = 4
	// smallZoneSize is the size up to which all nodes of another zone are notified
	// directly.
	smallZoneSize = 3
	// relayFanout is the number of nodes of its zone to which a relay forwards a notice.
	relayFanout = 8
	// leavingFanout is the number of nodes of its zone notified by each node that learns that another one no
	// longer accepts work. Each node forwards a notice only once, when it is new to it, so forwarding ends by
	// itself. Nearly all nodes of a large zone learn of it within a few consecutive messages, and the others
	// by exchanges. Without forwarding, the number of nodes that wait for exchanges grows with the zone
	// (TestLeavingNoticeSpreadsInZone). Other notices are not worth the messages.
	leavingFanout = 4
	// maxParallelNotices is the maximum number of peers notified in parallel: all that one node notifies, so
	// that peers that hang do not delay notices to others.
	maxParallelNotices = maxZonePeers + relayFanout
)

// deliveries counts the peers that have received a notice.
type deliveries struct {
	count atomic.Int64
	// first, when not nil, is closed when the first peer has received it.
	first chan struct{}
	once  sync.Once
}

// add counts one peer.
func (l *deliveries) add() {
	l.count.Add(1)
	if l.first != nil {
		l.once.Do(func() { close(l.first) })
	}
}

// BroadcastUntilFirst is like Broadcast, but returns when one peer has received the notice, or none
// could be reached; the remaining peers are notified in the background.
func (e *Exchanger) BroadcastUntilFirst(ctx context.Context) {
	delivered := &deliveries{first: make(chan struct{})}
	done := make(chan struct{})
	go func() {
		defer close(done)
		e.broadcast(ctx, delivered)
	}()
	select {
	case <-delivered.first:
	case <-done:
	}
}

// Broadcast notifies peers of the own record at once and returns how many have
// received the notice from this node. In its own zone a node notifies the peers
// itself. To each other zone it sends the notice only a few times, since traffic
// between zones is billed by the byte; the receivers forward it there.
func (e *Exchanger) Broadcast(ctx context.Context) int {
	delivered := &deliveries{}
	e.broadcast(ctx, delivered)
	return int(delivered.count.Load())
}

func (e *Exchanger) broadcast(ctx context.Context, delivered *deliveries) {
	own, view := e.options.Roster.Own(), e.options.Roster.View()
	var group errgroup.Group
	group.SetLimit(maxParallelNotices)
	for _, zone := range view.Zones() {
		peers := e.shuffled(e.peersOf(view.Zone(zone)))
		if zone == own.Zone || len(peers) <= smallZoneSize {
			e.notify(ctx, &group, delivered, peers[:min(len(peers), maxZonePeers)], e.notice(own))
			continue
		}
		relayed := e.notice(own)
		relayed.Relay = true
		group.Go(func() error {
			e.relay(ctx, delivered, peers, relayed)
			return nil
		})
	}
	_ = group.Wait()
}

// notify sends a notice to the peers on the group's goroutines.
func (e *Exchanger) notify(ctx context.Context, group *errgroup.Group, delivered *deliveries, peers []*roster.Record, notice *Notice) {
	for _, peer := range peers {
		group.Go(func() error {
			if e.sendNotice(ctx, peer, notice) == nil {
				delivered.add()
			}
			return nil
		})
	}
}

// relay notifies peers of one other zone until relaysPerZone have received the notice. When one does
// not respond within hedgeDelay, the next one is notified as well: sequentially, a single peer that hung
// took all the time within which a zone has to learn that a back end is leaving.
func (e *Exchanger) relay(ctx context.Context, received *deliveries, peers []*roster.Record, notice *Notice) {
	left := peers[:min(len(peers), maxRelayAttempts)]
	results := make(chan error, len(left))
	pending, delivered := 0, 0
	next := func() {
		peer := left[0]
		left = left[1:]
		pending++
		go func() { results <- e.sendNotice(ctx, peer, notice) }()
	}
	hedge := clock.NewTicker(hedgeDelay)
	defer hedge.Stop()
	for delivered < relaysPerZone {
		for len(left) > 0 && pending+delivered < relaysPerZone {
			next()
		}
		if pending == 0 {
			return
		}
		select {
		case err := <-results:
			pending--
			if err == nil {
				received.add()
				delivered++
			}
		case <-hedge.C:
			if len(left) > 0 {
				next()
			}
		}
	}
}

// presencePeers is the number of nodes of its zone that a node notifies that it is reachable again.
const presencePeers = 8

// AnnouncePresence notifies some peers of the zone that the node is reachable, so that those that
// recorded it as lost need not retry it.
func (e *Exchanger) AnnouncePresence(ctx context.Context) {
	own, view := e.options.Roster.Own(), e.options.Roster.View()
	peers := e.shuffled(e.peersOf(view.Zone(own.Zone)))
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	var group errgroup.Group
	e.notify(ctx, &group, &deliveries{}, peers[:min(len(peers), presencePeers)], e.notice(own))
	_ = group.Wait()
}

// greetedPeers is the number of peers with which a node exchanges state at start.
const greetedPeers = 3

// Greet exchanges state with some peers of the zone at once: a node that has started gets
// the configuration and recent changes from those that were running before.
func (e *Exchanger) Greet(ctx context.Context) {
	own, view := e.options.Roster.Own(), e.options.Roster.View()
	peers := e.shuffled(e.peersOf(view.Zone(own.Zone)))
	var group errgroup.Group
	for _, peer := range peers[:min(len(peers), greetedPeers)] {
		group.Go(func() error { return e.ExchangeWith(ctx, peer) })
	}
	if err := group.Wait(); err != nil {
		e.options.Logger.Info("peer not greeted", zap.Error(err))
	}
}

// handleNotice merges a notice and forwards it when required.
func (e *Exchanger) handleNotice(notice *Notice) {
	e.firstContact.setOnce(clock.Now())
	if notice.From == notice.Record.Node {
		e.lost.remove(notice.From)
	}
	e.mergeState(&notice.SharedState)
	news := e.options.Roster.Merge([]*roster.Record{notice.Record})
	if sender := e.options.Roster.View().Record(notice.From); sender != nil {
		e.NewerVersionReported(sender, notice.Version)
	}
	if count := fanout(notice); count > 0 && len(news) > 0 {
		go e.forward(notice.Record, count)
	}
}

// fanout returns to how many nodes of its zone a node forwards a notice if its record is new.
func fanout(notice *Notice) int {
	switch {
	case notice.Relay:
		return relayFanout
	case notice.Record.Stopping():
		return leavingFanout
	}
	return 0
}

// forward notifies the given number of nodes of the own zone of another node's record.
func (e *Exchanger) forward(record *roster.Record, count int) {
	own, view := e.options.Roster.Own(), e.options.Roster.View()
	peers := e.shuffled(e.peersOf(view.Zone(own.Zone)))
	e.notifyAll(peers[:min(len(peers), count)], record)
}

// notifyAll notifies the peers of a record, the version in force and the shared state.
func (e *Exchanger) notifyAll(peers []*roster.Record, record *roster.Record) {
	ctx, cancel := context.WithTimeout(context.Background(), exchangeTimeout)
	defer cancel()
	var group errgroup.Group
	group.SetLimit(maxParallelNotices)
	e.notify(ctx, &group, &deliveries{}, peers, e.notice(record))
	_ = group.Wait()
}

// notice returns a notice of a record.
func (e *Exchanger) notice(record *roster.Record) *Notice {
	return &Notice{
		Record: record, From: e.options.Roster.Own().Node, Version: e.options.Configuration.Version(), SharedState: e.state(),
	}
}

// sendNotice sends a notice to one peer.
func (e *Exchanger) sendNotice(ctx context.Context, peer *roster.Record, notice *Notice) error {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	resp, err := e.send(ctx, peer, pathNotice, notice)
	if err != nil {
		return err
	}
	e.firstContact.setOnce(clock.Now())
	return resp.Body.Close()
}

func (e *Exchanger) shuffled(records []*roster.Record) []*roster.Record {
	e.random.Shuffle(len(records), func(i, j int) { records[i], records[j] = records[j], records[i] })
	return records
}
