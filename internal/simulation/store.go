package simulation

import (
	"cmp"
	"slices"
	"time"

	"github.com/kestrelstream/kestrelstream/internal/distribution"
	"github.com/kestrelstream/kestrelstream/internal/resource"
	"github.com/kestrelstream/kestrelstream/internal/store"
)

// Bounds of the store model.
const (
	// storeTimeout is how long a client waits for an answer.
	storeTimeout = time.Second
	// logTail is how many entries are kept when the log is trimmed, which
	// happens when twice as many are there.
	logTail = 64
)

// heldSlot is a reader slot as its holder knows it.
type heldSlot struct {
	held     bool
	index    int
	revision uint64
}

// slot is a reader slot as the store holds it.
type slot struct {
	node        string
	incarnation uint64
	region      string
	expires     time.Duration
	revision    uint64
}

// storeWatch is one watch of the log.
type storeWatch struct {
	node   *node
	start  int
	silent bool
	// last keeps the deliveries in order.
	last time.Duration
	// closed: neither side uses it any more. started: the node knows of it;
	// what came before that waits in early.
	closed, started bool
	early           []func()
}

// storeModel is the platform's key-value service with the log and the reader
// slots. Its operations are those of the port, at the moment they take effect.
type storeModel struct {
	world    *World
	zone     string
	revision uint64
	// log holds the entries above floor, in version order; written holds
	// the revision of each.
	log     []resource.Entry
	written []uint64
	// floor is the version of the checkpoint that trimming left behind.
	floor   uint64
	trimmed uint64
	base    *resource.State
	head    *resource.State
	slots   []slot
	watches []*storeWatch

	outages, lostAnswers, duplicates int
	delay                            time.Duration

	tokens   float64
	tokensAt time.Duration
	requests requestCounter
}

func newStoreModel(w *World, slots int) *storeModel {
	return &storeModel{
		world: w, zone: w.scenario.Zones[0].Name,
		base: resource.NewState(), head: resource.NewState(),
		slots:  make([]slot, slots),
		tokens: float64(w.scenario.Store.RequestsPerSecond),
	}
}

func (s *storeModel) startFault(fault Fault) func() {
	switch fault.Kind {
	case FaultStoreOutage:
		s.outages++
		s.cutWatches()
		return func() { s.outages-- }
	case FaultStoreSlow:
		s.delay += time.Duration(fault.Delay)
		return func() { s.delay -= time.Duration(fault.Delay) }
	case FaultStoreLostAnswers:
		s.lostAnswers++
		return func() { s.lostAnswers-- }
	case FaultStoreDuplicate:
		s.duplicates++
		return func() { s.duplicates-- }
	case FaultStoreWatchSilent:
		for _, watch := range s.watches {
			watch.silent = true
		}
		return nil
	default:
		s.cutWatches()
		return nil
	}
}

func (s *storeModel) cutWatches() {
	for _, watch := range slices.Clone(s.watches) {
		s.endWatch(watch)
		node := watch.node
		if s.world.network.cut(node.zone, s.zone) {
			continue
		}
		// What was sent before arrives before the end.
		watch.last = max(watch.last, s.world.clock.now+s.legTo(node))
		s.world.deliver(node, watch.last, func() {
			if node.watch == watch {
				node.watch = nil
				s.world.runDaemon(node, node.control.WatchEnded(s.world.clock.time(), store.ErrUnavailable))
			}
		})
	}
}

func (s *storeModel) endWatch(watch *storeWatch) {
	watch.closed = true
	s.watches = slices.DeleteFunc(s.watches, func(w *storeWatch) bool { return w == watch })
}

func (s *storeModel) cancelWatch(n *node) {
	if n.watch != nil {
		s.endWatch(n.watch)
		n.watch = nil
	}
}

func (s *storeModel) forget(n *node) { s.cancelWatch(n) }

// legTo returns the one-way delay between a node and the store.
func (s *storeModel) legTo(n *node) time.Duration {
	return s.world.network.jitter(s.world.network.delay(n.zone, s.zone)) + n.delay
}

// call sends a request that counts as cost requests. At the store run makes it
// take effect and returns the answer, a function run at the node; a request
// that is not run is answered by failed. The answer to a write may be lost.
func (s *storeModel) call(n *node, cost int, write bool, run func() func(), failed func(error)) {
	w := s.world
	if w.network.cut(n.zone, s.zone) {
		w.deliver(n, w.clock.now+storeTimeout, func() { failed(store.ErrUnavailable) })
		return
	}
	outward := s.legTo(n)
	w.clock.after(outward, func() {
		s.requests.add(w.clock.now, cost)
		back := s.legTo(n)
		if err := s.refusal(cost); err != nil {
			w.deliver(n, w.clock.now+back, func() { failed(err) })
			return
		}
		w.clock.after(time.Duration(w.scenario.Store.ServiceTime)+s.delay, func() {
			answer := run()
			if write && s.lostAnswers > 0 {
				w.deliver(n, w.clock.now+storeTimeout, func() { failed(store.ErrUnknownOutcome) })
				return
			}
			w.deliver(n, w.clock.now+back, answer)
		})
	})
}

// reaches reports whether a node can talk to the store.
func (s *storeModel) reaches(n *node) bool {
	return s.outages == 0 && !s.world.network.cut(n.zone, s.zone)
}

// holds reports whether an operation is in the log, as a writer finds out by
// reading back after a lost answer.
func (s *storeModel) holds(operation string) bool { return s.world.checker.versionOf(operation) != 0 }

// refusal applies the outage and the rate limit, a bucket of one second.
func (s *storeModel) refusal(cost int) error {
	if s.outages > 0 {
		return store.ErrUnavailable
	}
	limit := float64(s.world.scenario.Store.RequestsPerSecond)
	if limit == 0 {
		return nil
	}
	elapsed := (s.world.clock.now - s.tokensAt).Seconds()
	s.tokensAt = s.world.clock.now
	s.tokens = min(limit, s.tokens+elapsed*limit)
	if s.tokens < float64(cost) {
		return store.ErrRateLimited
	}
	s.tokens -= float64(cost)
	return nil
}

// create is the create-if-absent of log/<version>: the one commit point.
func (s *storeModel) create(entry resource.Entry) error {
	if entry.Version != s.head.Version()+1 {
		return store.ErrConflict
	}
	s.append(entry)
	return nil
}

func (s *storeModel) append(entry resource.Entry) {
	next, advanced := s.head.Advance(entry)
	if !advanced {
		return
	}
	s.head = next
	s.revision++
	s.log = append(s.log, entry)
	s.written = append(s.written, s.revision)
	s.world.checker.accepted(entry, next)
	s.world.notifyDirect(entry)
	for _, watch := range slices.Clone(s.watches) {
		s.notify(watch, entry, s.revision)
	}
	if len(s.log) >= 2*logTail {
		s.trim()
	}
}

// overwrite replaces an entry or adds the next without a condition; only a
// broken variant does so.
func (s *storeModel) overwrite(entry resource.Entry) {
	if entry.Version > s.head.Version() {
		_ = s.create(entry)
		return
	}
	if at := int(entry.Version) - int(s.floor) - 1; at >= 0 {
		s.log[at] = entry
		s.revision++
		s.world.checker.overwritten(entry)
	}
}

// trim moves the checkpoint forward and drops the entries it covers.
func (s *storeModel) trim() {
	cut := len(s.log) - logTail
	for _, entry := range s.log[:cut] {
		s.base, _ = s.base.Advance(entry)
	}
	s.floor = s.base.Version()
	s.trimmed = s.written[cut-1]
	s.log = slices.Clone(s.log[cut:])
	s.written = slices.Clone(s.written[cut:])
}

func (s *storeModel) notify(watch *storeWatch, entry resource.Entry, revision uint64) {
	if !watch.node.alive || watch.node.starts != watch.start {
		s.endWatch(watch)
		return
	}
	if watch.silent || s.world.network.cut(watch.node.zone, s.zone) {
		watch.silent = true
		return
	}
	times := 1
	if s.duplicates > 0 {
		times = 2
	}
	for range times {
		watch.last = max(watch.last, s.world.clock.now+s.legTo(watch.node)+s.delay)
		s.world.deliver(watch.node, watch.last, func() { s.arriveEvent(watch, entry, revision) })
	}
}

func (s *storeModel) arriveEvent(watch *storeWatch, entry resource.Entry, revision uint64) {
	n := watch.node
	take := func() {
		s.world.trace(traceWatch, n.index, entry.Version)
		s.world.runDaemon(n, n.control.WatchEntry(s.world.clock.time(), entry, revision))
	}
	switch {
	case n.watch == watch:
		take()
	case !watch.started && !watch.closed:
		watch.early = append(watch.early, take)
	}
}

// entriesAfter returns what follows a version; false when it was trimmed.
func (s *storeModel) entriesAfter(version uint64) ([]resource.Entry, bool) {
	if version < s.floor {
		return nil, false
	}
	at := min(int(version-s.floor), len(s.log))
	return slices.Clone(s.log[at:]), true
}

// readers lists the slots that are held.
func (s *storeModel) readers() []distribution.Reader {
	var held []distribution.Reader
	for i, slot := range s.slots {
		if slot.expires > s.world.clock.now {
			held = append(held, distribution.Reader{
				Slot: i, Node: slot.node, Address: slot.node, Region: slot.region, Revision: slot.revision,
			})
		}
	}
	return held
}

// freeFor finds the slot a node may take: its own from an earlier start first,
// else the first that is free; -1 when there is none.
func (s *storeModel) freeFor(n *node) int {
	own := slices.IndexFunc(s.slots, func(slot slot) bool { return slot.node == n.name && slot.expires > s.world.clock.now })
	if own >= 0 {
		return own
	}
	return slices.IndexFunc(s.slots, func(slot slot) bool { return slot.expires <= s.world.clock.now })
}

// requestCounter counts requests, in all and by second.
type requestCounter struct {
	total    int
	bySecond map[int64]int
}

func (r *requestCounter) add(at time.Duration, cost int) {
	if r.bySecond == nil {
		r.bySecond = map[int64]int{}
	}
	r.total += cost
	r.bySecond[int64(at/time.Second)] += cost
}

func (r *requestCounter) worst() int {
	worst := 0
	for _, count := range r.bySecond {
		worst = max(worst, count)
	}
	return worst
}

func sortedFaults(faults []Fault) []Fault {
	sorted := slices.Clone(faults)
	slices.SortStableFunc(sorted, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return sorted
}
