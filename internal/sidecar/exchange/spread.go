package exchange

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/roster"
)

const (
	// zonePeers bounds how many nodes of its own zone a node tells of a change;
	// the others hear of it by exchanges.
	zonePeers = 32
	// zoneRelays is how many nodes of each other zone are told, relayTries how
	// many are asked until so many have heard.
	zoneRelays = 2
	relayTries = 4
	// smallZone is the size up to which all nodes of another zone are told
	// directly.
	smallZone = 3
	// relayPeers is how many nodes of its zone a relay passes news on to.
	relayPeers = 8
	// leavingPeers is how many nodes of its zone each node tells that hears that another one takes no
	// work any more. It is told once by each, so that it ends by itself; in a zone of 334 nodes all but
	// 3 in 100 at most hear it within some messages after each other, and the others by exchanges 0.8 s apart.
	// Without it the number of those that wait for exchanges grows with the zone
	// (TestThatANodeLeavesReachesAZone). Any other news is not worth the messages.
	leavingPeers = 4
	// spreadParallel is how many peers are told at once: all that one node tells, so that peers
	// that hang delay nobody else's news.
	spreadParallel = zonePeers + relayPeers
)

// listeners counts the peers that have heard a piece of news.
type listeners struct {
	count atomic.Int64
	// first, when not nil, is closed when the first one has heard.
	first chan struct{}
	once  sync.Once
}

// add counts one peer.
func (l *listeners) add() {
	l.count.Add(1)
	if l.first != nil {
		l.once.Do(func() { close(l.first) })
	}
}

// BroadcastToOne is Broadcast, but returns when one peer has heard, or all were
// told in vain; the others are told meanwhile.
func (e *Exchanger) BroadcastToOne(ctx context.Context) {
	heard := &listeners{first: make(chan struct{})}
	done := make(chan struct{})
	go func() {
		defer close(done)
		e.broadcast(ctx, heard)
	}()
	select {
	case <-heard.first:
	case <-done:
	}
}

// Broadcast tells peers of the own record at once and returns how many have
// heard it themselves. In its own zone a node tells the peers itself. To each
// other zone the news goes but a few times, since what passes between zones is
// paid for by the byte; there it is passed on.
func (e *Exchanger) Broadcast(ctx context.Context) int {
	heard := &listeners{}
	e.broadcast(ctx, heard)
	return int(heard.count.Load())
}

func (e *Exchanger) broadcast(ctx context.Context, heard *listeners) {
	own, view := e.options.Roster.Own(), e.options.Roster.View()
	var group errgroup.Group
	group.SetLimit(spreadParallel)
	for _, zone := range view.Zones() {
		peers := shuffled(e.peersOf(view.Zone(zone)))
		if zone == own.Zone || len(peers) <= smallZone {
			e.tell(ctx, &group, heard, peers[:min(len(peers), zonePeers)], e.notice(own))
			continue
		}
		relayed := e.notice(own)
		relayed.Relay = true
		group.Go(func() error {
			e.relay(ctx, heard, peers, relayed)
			return nil
		})
	}
	_ = group.Wait()
}

// tell has the peers told by the group's goroutines.
func (e *Exchanger) tell(ctx context.Context, group *errgroup.Group, heard *listeners, peers []*roster.Record, notice *Notice) {
	for _, peer := range peers {
		group.Go(func() error {
			if e.sendNotice(ctx, peer, notice) == nil {
				heard.add()
			}
			return nil
		})
	}
}

// relay tells peers of one other zone until some have heard. One that does not answer within a
// short time is left to itself while the next is told: asked one after the other, a single peer
// that hung took all the time in which a zone was to hear that a back end leaves.
func (e *Exchanger) relay(ctx context.Context, heard *listeners, peers []*roster.Record, notice *Notice) {
	left := peers[:min(len(peers), relayTries)]
	results := make(chan error, len(left))
	under, told := 0, 0
	next := func() {
		peer := left[0]
		left = left[1:]
		under++
		go func() { results <- e.sendNotice(ctx, peer, notice) }()
	}
	hedge := time.NewTicker(hedgeDelay)
	defer hedge.Stop()
	for told < zoneRelays {
		for len(left) > 0 && under+told < zoneRelays {
			next()
		}
		if under == 0 {
			return
		}
		select {
		case err := <-results:
			under--
			if err == nil {
				heard.add()
				told++
			}
		case <-hedge.C:
			if len(left) > 0 {
				next()
			}
		}
	}
}

// appearPeers is how many nodes of its zone a node tells that it is there again, without news of it.
const appearPeers = 8

// Appear tells some peers of the zone that the node is there: who has lost it need not look for it.
func (e *Exchanger) Appear(ctx context.Context) {
	own, view := e.options.Roster.Own(), e.options.Roster.View()
	peers := shuffled(e.peersOf(view.Zone(own.Zone)))
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	var group errgroup.Group
	e.tell(ctx, &group, &listeners{}, peers[:min(len(peers), appearPeers)], e.notice(own))
	_ = group.Wait()
}

// greetings is how many peers a node that starts exchanges with at once.
const greetings = 3

// Greet exchanges with some peers of the zone at once: a node that has started gets
// the configuration and what changed since from those that were there before.
func (e *Exchanger) Greet(ctx context.Context) {
	own, view := e.options.Roster.Own(), e.options.Roster.View()
	peers := shuffled(e.peersOf(view.Zone(own.Zone)))
	var group errgroup.Group
	for _, peer := range peers[:min(len(peers), greetings)] {
		group.Go(func() error { return e.With(ctx, peer) })
	}
	if err := group.Wait(); err != nil {
		e.options.Logger.Info("peer not greeted", zap.Error(err))
	}
}

// hear takes in a notice and passes news on when that is asked.
func (e *Exchanger) hear(notice *Notice) {
	e.met.Store(true)
	if notice.From == notice.Record.Node {
		e.lost.remove(notice.From)
	}
	e.hearTold(&notice.Told)
	news := e.options.Roster.Merge([]*roster.Record{notice.Record})
	if sender := e.options.Roster.View().Record(notice.From); sender != nil {
		e.Behind(sender, notice.Version)
	}
	if count := passedTo(notice); count > 0 && len(news) > 0 {
		go e.passOn(notice.Record, count)
	}
}

// passedTo returns to how many nodes of its zone one that hears a notice passes it on, if it is news.
func passedTo(notice *Notice) int {
	switch {
	case notice.Relay:
		return relayPeers
	case notice.Record.Stopping():
		return leavingPeers
	}
	return 0
}

// passOn tells so many nodes of the own zone of another node's record.
func (e *Exchanger) passOn(record *roster.Record, count int) {
	own, view := e.options.Roster.Own(), e.options.Roster.View()
	peers := shuffled(e.peersOf(view.Zone(own.Zone)))
	e.tellAll(peers[:min(len(peers), count)], record)
}

// tellAll tells the peers of a record and, with it, of the version in force.
func (e *Exchanger) tellAll(peers []*roster.Record, record *roster.Record) {
	ctx, cancel := context.WithTimeout(context.Background(), exchangeTimeout)
	defer cancel()
	var group errgroup.Group
	group.SetLimit(spreadParallel)
	e.tell(ctx, &group, &listeners{}, peers, e.notice(record))
	_ = group.Wait()
}

// notice returns what is told of a record.
func (e *Exchanger) notice(record *roster.Record) *Notice {
	return &Notice{
		Record: record, From: e.options.Roster.Own().Node, Version: e.options.Configuration.Version(), Told: e.told(),
	}
}

// sendNotice sends one notice.
func (e *Exchanger) sendNotice(ctx context.Context, peer *roster.Record, notice *Notice) error {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	resp, err := e.send(ctx, peer, pathNotice, notice)
	if err != nil {
		return err
	}
	e.met.Store(true)
	return resp.Body.Close()
}

func shuffled(records []*roster.Record) []*roster.Record {
	rand.Shuffle(len(records), func(i, j int) { records[i], records[j] = records[j], records[i] })
	return records
}
