// Package quarantine finds requests that end the back ends that run them, and holds them
// back at every node. What a node sees travels in its record; each node comes to the same
// verdict from the same records, without a leader. The verdicts of a node are kept in the
// store with its record, so that they outlive an end of all nodes.
package quarantine

import (
	"cmp"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/clock"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/contain"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/fingerprint"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/roster"
)

// Options configure a quarantine.
type Options struct {
	Members *roster.Roster
	// Broadcast tells the peers of the own record.
	Broadcast func()
	// BroadcastAndWait is Spread, but returns when the peers have heard, or a short time later; nil to have
	// Spread run beside.
	BroadcastAndWait func()
	// After runs something after a delay, in no goroutine that holds a lock; nil for the
	// runtime's timers.
	After    func(delay time.Duration, run func())
	Logger   *zap.Logger
	Registry prometheus.Registerer
}

const (
	// clearanceDelay is how long a clearance waits for more of them: the requests that were
	// beside a harmful one come to their good ends within some milliseconds of each other.
	clearanceDelay = 10 * time.Millisecond
	// maxEntries bounds the verdicts of all nodes that a node keeps, in number.
	maxEntries = 4096
)

// Quarantine is one node's view of harmful requests. It is safe for concurrent use.
type Quarantine struct {
	options     Options
	state       atomic.Pointer[state]
	completions completions
	// broadcastPending: news is about to be told.
	broadcastPending atomic.Bool

	mu sync.Mutex // guards all below; taken under the roster's lock
	// evidence is that of all nodes that have some.
	evidence map[string]*roster.Evidence
	// gone are those of them whose back end has ended for good: their records are
	// forgotten after a while.
	gone map[string]bool
	// firstSeen is when the node heard of the ends that are told, by back end.
	firstSeen map[string]time.Time
	// known are the verdicts so far. A verdict stays when its evidence goes.
	known map[fingerprint.Digest]roster.Quarantined
}

// state is what requests are compared with. It is immutable.
type state struct {
	held map[fingerprint.Digest]roster.Quarantined
	// suspects are the requests at work at ends that no verdict explains.
	suspects map[fingerprint.Digest]bool
}

// New returns a quarantine that holds nothing back. The roster's observer is to call
// Follow.
func New(options Options) *Quarantine {
	if options.After == nil {
		options.After = func(delay time.Duration, run func()) {
			time.AfterFunc(delay, func() { _ = contain.Run("evidence", options.Logger, run) })
		}
	}
	created := &Quarantine{
		options: options, evidence: map[string]*roster.Evidence{}, gone: map[string]bool{},
		firstSeen: map[string]time.Time{}, known: map[fingerprint.Digest]roster.Quarantined{},
	}
	if options.BroadcastAndWait == nil {
		created.options.BroadcastAndWait = func() { created.options.After(0, options.Broadcast) }
	}
	created.state.Store(&state{})
	created.register(options.Registry)
	return created
}

func (q *Quarantine) register(registry prometheus.Registerer) {
	registry.MustRegister(
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "kestrel_sidecar_quarantine_held", Help: "Requests that no back end is to get, by digest.",
		}, func() float64 { return float64(len(q.state.Load().held)) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "kestrel_sidecar_quarantine_suspects", Help: "Digests of requests that were at work when back ends ended.",
		}, func() float64 { return float64(len(q.state.Load().suspects)) }),
	)
}

// Idle reports whether nothing is held back or suspected: requests need not be identified
// then.
func (q *Quarantine) Idle() bool {
	now := q.state.Load()
	return len(now.held)+len(now.suspects) == 0
}

// Holds reports whether a request is held back.
func (q *Quarantine) Holds(print fingerprint.Fingerprint) bool {
	held := q.state.Load().held
	_, content := held[print.Content]
	_, call := held[print.Call]
	return content || call
}

// Suspects reports whether a request was at work when a back end ended, and it is open
// which one ended it.
func (q *Quarantine) Suspects(print fingerprint.Fingerprint) bool {
	suspects := q.state.Load().suspects
	return suspects[print.Content] || suspects[print.Call]
}

// Quarantined returns all verdicts, by digest.
func (q *Quarantine) Quarantined() []roster.Quarantined {
	var all []roster.Quarantined
	for _, held := range q.state.Load().held {
		all = append(all, held)
	}
	slices.SortFunc(all, func(a, b roster.Quarantined) int { return a.Digest.Compare(b.Digest) })
	return all
}

// ErrNotQuarantined says that a request is not held back.
var ErrNotQuarantined = errors.New("quarantine: no request with this digest is held back")

// Lift ends a verdict at all nodes. Back ends get the request again; when two more end under
// it, it is held back again.
func (q *Quarantine) Lift(digest fingerprint.Digest) error {
	held, known := q.state.Load().held[digest]
	if !known {
		return ErrNotQuarantined
	}
	if q.update(func(own *roster.Evidence) bool {
		own.Lifted = append(own.Lifted, roster.Lift{Digest: digest, Count: held.Lifts + 1})
		return true
	}) {
		q.options.After(0, q.options.Broadcast)
	}
	return nil
}

// Ended takes in the unplanned end of the back end beside this node. What came to a good
// end here of late is not suspected. It returns when the peers have heard, or a short time
// later: a caller that is answered sooner comes back to a node that does not suspect its
// request yet, and may end further back ends.
func (q *Quarantine) Ended(crash roster.Crash) {
	crash.Running = q.completions.withoutCompleted(crash.Running, clock.Now())
	if len(crash.Running) == 0 {
		return
	}
	if q.update(func(own *roster.Evidence) bool {
		if slices.ContainsFunc(own.Crashes, func(existing roster.Crash) bool { return existing.Endpoint == crash.Endpoint }) {
			return false
		}
		own.Crashes = append(own.Crashes, crash)
		return true
	}) {
		q.options.BroadcastAndWait()
	}
}

// Survived takes in that the back end beside this node has answered a request. One that is
// suspected did not make the ends that are known now.
func (q *Quarantine) Survived(print fingerprint.Fingerprint) {
	q.completions.add(print, clock.Now())
	if !q.Suspects(print) {
		return
	}
	endpoints := q.crashesDuring(print)
	if len(endpoints) == 0 {
		return
	}
	if q.update(func(own *roster.Evidence) bool {
		own.Cleared = append(slices.DeleteFunc(own.Cleared, func(held roster.Clearance) bool {
			return held.Call == print.Call
		}), roster.Clearance{Fingerprint: print, Endpoints: endpoints})
		return true
	}) {
		q.broadcastSoon()
	}
}

// crashesDuring returns the back ends under whose end the request was at work.
func (q *Quarantine) crashesDuring(print fingerprint.Fingerprint) (endpoints []string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, nodeEvidence := range q.evidence {
		for _, crash := range nodeEvidence.Crashes {
			if wasRunning(crash, print) {
				endpoints = append(endpoints, crash.Endpoint)
			}
		}
	}
	slices.Sort(endpoints)
	return endpoints
}

func wasRunning(crash roster.Crash, print fingerprint.Fingerprint) bool {
	return slices.ContainsFunc(crash.Running, func(running fingerprint.Fingerprint) bool {
		return running.Content == print.Content
	})
}

// update changes the own evidence and reports whether it did.
func (q *Quarantine) update(change func(own *roster.Evidence) bool) (changed bool) {
	_, changed = q.options.Members.Update(func(record roster.Record) (roster.Record, bool) {
		own := record.Evidence.Clone()
		if !change(&own) {
			return record, false
		}
		record.Evidence = own.Bounded()
		return record, true
	})
	return changed
}

// broadcastSoon tells the others after clearanceDelay, once for all that changes meanwhile.
func (q *Quarantine) broadcastSoon() {
	if !q.broadcastPending.CompareAndSwap(false, true) {
		return
	}
	q.options.After(clearanceDelay, func() {
		q.broadcastPending.Store(false)
		q.options.Broadcast()
	})
}

// Follow takes in changed records. The roster's lock is held.
func (q *Quarantine) Follow(changed []*roster.Record) {
	if !q.updateEvidence(changed) {
		return
	}
	for _, held := range q.evaluate() {
		q.options.Logger.Warn("request held back", zap.Stringer("digest", held.Digest), zap.String("service", held.Service),
			zap.Strings("ended", held.Endpoints))
	}
	q.options.After(0, q.reconcileOwnEvidence)
}

// updateEvidence reports whether the records bring other evidence.
func (q *Quarantine) updateEvidence(changed []*roster.Record) (news bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, record := range changed {
		if q.evidence[record.Node] == record.Evidence && !record.Gone() {
			continue
		}
		news = news || record.Evidence != nil || q.evidence[record.Node] != nil
		if record.Evidence == nil {
			delete(q.evidence, record.Node)
		} else {
			q.evidence[record.Node] = record.Evidence
		}
		if record.Gone() && record.Evidence != nil {
			q.gone[record.Node] = true
		}
	}
	if news {
		q.recordFirstSeen(clock.Now())
	}
	return news
}

// recordFirstSeen notes when ends that are told were first heard of, and forgets the others; the lock
// is held.
func (q *Quarantine) recordFirstSeen(now time.Time) {
	next := map[string]time.Time{}
	for _, nodeEvidence := range q.evidence {
		for _, crash := range nodeEvidence.Crashes {
			next[crash.Endpoint] = now
			if before, known := q.firstSeen[crash.Endpoint]; known {
				next[crash.Endpoint] = before
			}
		}
	}
	q.firstSeen = next
}

// evaluate comes to the verdicts that the evidence allows, publishes the state, and returns
// the new ones.
func (q *Quarantine) evaluate() (fresh []roster.Quarantined) {
	q.mu.Lock()
	defer q.mu.Unlock()
	removed := q.removeLifted()
	for _, nodeEvidence := range q.evidence {
		for _, held := range nodeEvidence.Quarantined {
			fresh = q.addEntry(held, fresh)
		}
	}
	for _, digestOf := range digestKinds {
		open, services := q.open(digestOf)
		for _, found := range findCulprits(open) {
			fresh = q.addEntry(roster.Quarantined{
				Digest: found.digest, Service: services[found.endpoints[0]], Endpoints: found.endpoints, Lifts: q.liftCount(found.digest),
			}, fresh)
		}
	}
	if len(q.known) > maxEntries {
		q.options.Logger.Error("more requests held back than are kept in mind", zap.Int("held", len(q.known)), zap.Int("most", maxEntries))
	}
	q.publish(removed || len(fresh) > 0)
	return fresh
}

// removeLifted forgets verdicts that were lifted, and reports whether there are some. The lock is
// held.
func (q *Quarantine) removeLifted() (changed bool) {
	for digest, held := range q.known {
		if q.isLifted(held) {
			delete(q.known, digest)
			changed = true
			q.options.Logger.Warn("request not held back any more", zap.Stringer("digest", digest), zap.String("service", held.Service))
		}
	}
	return changed
}

// isLifted reports whether a verdict was isLifted; the lock is held.
func (q *Quarantine) isLifted(held roster.Quarantined) bool {
	return held.Lifts < q.liftCount(held.Digest)
}

// liftCount returns how often verdicts on a request were lifted, as some node tells; the lock is
// held.
func (q *Quarantine) liftCount(digest fingerprint.Digest) (count int) {
	for _, nodeEvidence := range q.evidence {
		count = max(count, nodeEvidence.LiftCount(digest))
	}
	return count
}

// digestKinds are the digests of a request that are judged, in this order: where all callers
// of a content end back ends it is the content that does.
var digestKinds = [...]func(fingerprint.Fingerprint) fingerprint.Digest{content, call}

func content(print fingerprint.Fingerprint) fingerprint.Digest { return print.Content }
func call(print fingerprint.Fingerprint) fingerprint.Digest    { return print.Call }

// addEntry adds a verdict, unless it is known or there are too many.
func (q *Quarantine) addEntry(held roster.Quarantined, fresh []roster.Quarantined) []roster.Quarantined {
	if _, known := q.known[held.Digest]; known || len(q.known) > maxEntries || q.isLifted(held) {
		return fresh
	}
	q.known[held.Digest] = held
	return append(fresh, held)
}

// publish replaces the state; the lock is held.
func (q *Quarantine) publish(verdicts bool) {
	next := &state{held: q.state.Load().held, suspects: map[fingerprint.Digest]bool{}}
	if verdicts {
		next.held = make(map[fingerprint.Digest]roster.Quarantined, len(q.known))
		for digest, held := range q.known {
			next.held[digest] = held
		}
	}
	// A verdict on one kind of digest explains ends for both: what is open is known only now.
	for _, digestOf := range digestKinds {
		open, _ := q.open(digestOf)
		for _, crash := range open {
			for _, digest := range crash.digests {
				next.suspects[digest] = true
			}
		}
	}
	q.state.Store(next)
}

// open returns the ends that no verdict explains, with the requests that are not cleared,
// and the services of the back ends. The lock is held.
func (q *Quarantine) open(digestOf func(fingerprint.Fingerprint) fingerprint.Digest) (open []openCrash, services map[string]string) {
	cleared := q.cleared(digestOf)
	services = map[string]string{}
	seen := map[string]bool{}
	for _, nodeEvidence := range q.evidence {
		for _, crash := range nodeEvidence.Crashes {
			services[crash.Endpoint] = crash.Service
			if seen[crash.Endpoint] || q.explained(crash) {
				continue
			}
			seen[crash.Endpoint] = true
			left := openCrash{endpoint: crash.Endpoint, at: q.firstSeen[crash.Endpoint]}
			if crash.Trial != nil {
				left.trial = digestOf(*crash.Trial)
			}
			for _, running := range crash.Running {
				if digest := digestOf(running); !cleared[clearanceKey{digest, crash.Endpoint}] {
					left.digests = append(left.digests, digest)
				}
			}
			open = append(open, left)
		}
	}
	slices.SortFunc(open, func(a, b openCrash) int { return cmp.Compare(a.endpoint, b.endpoint) })
	return open, services
}

// clearanceKey is one request that did not make the end of one back end.
type clearanceKey struct {
	digest   fingerprint.Digest
	endpoint string
}

func (q *Quarantine) cleared(digestOf func(fingerprint.Fingerprint) fingerprint.Digest) map[clearanceKey]bool {
	cleared := map[clearanceKey]bool{}
	for _, nodeEvidence := range q.evidence {
		for _, clearance := range nodeEvidence.Cleared {
			for _, endpoint := range clearance.Endpoints {
				cleared[clearanceKey{digestOf(clearance.Fingerprint), endpoint}] = true
			}
		}
	}
	return cleared
}

// explained reports whether a request that is held back was at work at the end.
func (q *Quarantine) explained(crash roster.Crash) bool {
	return slices.ContainsFunc(crash.Running, func(running fingerprint.Fingerprint) bool {
		_, byContent := q.known[running.Content]
		_, byCall := q.known[running.Call]
		return byContent || byCall
	})
}
