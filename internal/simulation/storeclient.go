package simulation

import (
	"errors"
	"time"

	"github.com/kestrelstream/kestrelstream/internal/distribution"
	"github.com/kestrelstream/kestrelstream/internal/distribution/reader"
	"github.com/kestrelstream/kestrelstream/internal/store"
)

// What each operation costs in requests, as internal/store/slots and versionlog
// make them: a range of the slots, read again when none is free; to take one a
// lease, a compare-and-swap and a range; a load reads the pointer twice, one
// chunk and one page of the log.
const (
	costRange = 1
	costTake  = 3
	costLoad  = 4
)

// request performs what a reader core asks for.
func (s *storeModel) request(n *node, request reader.Request) {
	switch request.Operation {
	case reader.Acquire:
		s.acquire(n)
	case reader.Renew:
		s.renew(n)
	case reader.Load:
		s.load(n)
	case reader.Watch:
		s.startWatch(n, request.Revision)
	case reader.Poll:
		s.poll(n)
	case reader.Release:
		s.release(n)
	}
}

func (s *storeModel) acquire(n *node) {
	failed := func(err error) { s.acquired(n, false, nil, err) }
	s.call(n, costRange, false, func() func() {
		readers, free := s.readers(), s.freeFor(n) >= 0
		return func() {
			if !free {
				s.requests.add(s.world.clock.now, costRange)
				s.acquired(n, false, readers, nil)
				return
			}
			s.call(n, costTake, true, func() func() { return s.take(n) }, func(err error) { s.settle(n, err) })
		}
	}, failed)
}

func (s *storeModel) acquired(n *node, held bool, readers []distribution.Reader, err error) {
	s.world.runDaemon(n, n.control.Acquired(s.world.clock.time(), held, readers, err))
	s.world.checker.readersChanged()
}

// take grants a lease and creates the slot's key, at once at the store.
func (s *storeModel) take(n *node) func() {
	at := s.freeFor(n)
	if at < 0 {
		readers := s.readers()
		return func() { s.acquired(n, false, readers, nil) }
	}
	s.revision++
	lease := s.world.controlConfig.Reader.LeaseTime
	s.slots[at] = slot{
		node: n.name, incarnation: n.incarnation(), region: n.region,
		expires: s.world.clock.now + lease, revision: s.revision,
	}
	readers, held := s.readers(), heldSlot{held: true, index: at, revision: s.revision}
	return func() {
		n.slot = held
		s.acquired(n, true, readers, nil)
	}
}

// settle reads back whether a claim whose answer was lost took effect.
func (s *storeModel) settle(n *node, unknown error) {
	if !errors.Is(unknown, store.ErrUnknownOutcome) {
		s.acquired(n, false, nil, unknown)
		return
	}
	s.call(n, costRange, false, func() func() {
		readers, won := s.readers(), heldSlot{}
		for i, slot := range s.slots {
			if slot.node == n.name && slot.incarnation == n.incarnation() && slot.expires > s.world.clock.now {
				won = heldSlot{held: true, index: i, revision: slot.revision}
			}
		}
		return func() {
			n.slot = won
			s.acquired(n, won.held, readers, nil)
		}
	}, func(err error) { s.acquired(n, false, nil, err) })
}

// owns reports whether the slot is still the node's with a lease that lives.
func (s *storeModel) owns(n *node, held heldSlot) bool {
	slot := s.slots[held.index]
	return slot.revision == held.revision && slot.node == n.name && slot.expires > s.world.clock.now
}

func (s *storeModel) renew(n *node) {
	held := n.slot
	s.call(n, costRange, false, func() func() {
		if !s.owns(n, held) {
			return func() { s.renewed(n, store.ErrLeaseNotFound) }
		}
		s.slots[held.index].expires = s.world.clock.now + s.world.controlConfig.Reader.LeaseTime
		return func() { s.renewed(n, nil) }
	}, func(err error) { s.renewed(n, err) })
}

func (s *storeModel) renewed(n *node, err error) {
	if err == store.ErrLeaseNotFound {
		n.slot = heldSlot{}
	}
	s.world.runDaemon(n, n.control.Renewed(s.world.clock.time(), err))
	s.world.checker.readersChanged()
}

func (s *storeModel) load(n *node) {
	version := n.control.State().Version()
	s.call(n, costLoad, false, func() func() {
		var checkpoint *distribution.Checkpoint
		entries, whole := s.entriesAfter(version)
		if !whole {
			checkpoint = &distribution.Checkpoint{Version: s.floor, Resources: s.base.All()}
			entries, _ = s.entriesAfter(s.floor)
		}
		revision := s.revision
		return func() {
			s.world.runDaemon(n, n.control.Loaded(s.world.clock.time(), checkpoint, entries, revision, nil))
		}
	}, func(err error) {
		s.world.runDaemon(n, n.control.Loaded(s.world.clock.time(), nil, nil, 0, err))
	})
}

func (s *storeModel) startWatch(n *node, after uint64) {
	s.call(n, costRange, false, func() func() {
		if after < s.trimmed {
			return func() { s.watching(n, nil, store.ErrCompacted) }
		}
		watch := &storeWatch{node: n, start: n.starts}
		s.watches = append(s.watches, watch)
		s.world.count.worstWatches = max(s.world.count.worstWatches, len(s.watches))
		missed, revisions := s.log, s.written
		return func() {
			if watch.closed {
				s.watching(n, nil, store.ErrUnavailable)
				return
			}
			s.cancelWatch(n)
			s.watching(n, watch, nil)
			for i, entry := range missed {
				if revisions[i] > after {
					s.arriveEvent(watch, entry, revisions[i])
				}
			}
			for _, take := range watch.early {
				take()
			}
			watch.early = nil
		}
	}, func(err error) { s.watching(n, nil, err) })
}

func (s *storeModel) watching(n *node, watch *storeWatch, err error) {
	n.watch = watch
	if watch != nil {
		watch.started = true
	}
	s.world.runDaemon(n, n.control.Watching(s.world.clock.time(), err))
}

func (s *storeModel) poll(n *node) {
	version := n.control.State().Version()
	s.call(n, costRange, false, func() func() {
		entries, whole := s.entriesAfter(version)
		revision := s.revision
		return func() {
			if !whole {
				s.world.runDaemon(n, n.control.Polled(s.world.clock.time(), nil, revision, store.ErrCompacted))
				return
			}
			s.world.runDaemon(n, n.control.Polled(s.world.clock.time(), entries, revision, nil))
		}
	}, func(err error) {
		s.world.runDaemon(n, n.control.Polled(s.world.clock.time(), nil, 0, err))
	})
}

func (s *storeModel) release(n *node) {
	held := n.slot
	n.slot = heldSlot{}
	s.call(n, costRange, true, func() func() {
		if s.owns(n, held) {
			s.slots[held.index].expires = time.Duration(0)
		}
		return func() {}
	}, func(error) {})
}
