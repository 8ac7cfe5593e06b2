// Package quarantine identifies requests that crash the back ends that run them and blocks them at
// every node. What a node observes is part of its record, and each node reaches the same
// conclusions from the same records, without a leader. Quarantined requests are stored with a
// node's record, so that they survive a failure of all nodes.
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

// Options configure a Quarantine.
type Options struct {
	Members *roster.Roster
	// Broadcast sends the node's own record to the peers.
	Broadcast func()
	// BroadcastAndWait is like Broadcast but returns when the peers have received the record, or
	// after a short timeout. If nil, Broadcast is run asynchronously instead.
	BroadcastAndWait func()
	// After runs a function after a delay, in a goroutine that holds no lock. If nil, runtime
	// timers are used.
	After    func(delay time.Duration, run func())
	Logger   *zap.Logger
	Registry prometheus.Registerer
}

const (
	// clearanceDelay is the time for which a clearance waits to be broadcast together with others:
	// requests that were running beside a harmful one complete within some milliseconds of each
	// other.
	clearanceDelay = 10 * time.Millisecond
	// maxEntries bounds the quarantined requests of all nodes that a node keeps.
	maxEntries = 4096
)

// Quarantine is one node's view of harmful requests. It is safe for concurrent use.
type Quarantine struct {
	options     Options
	state       atomic.Pointer[state]
	completions completions
	// broadcastPending means that a broadcast is scheduled.
	broadcastPending atomic.Bool

	mu sync.Mutex // guards the fields below; acquired while holding the roster's lock
	// evidence is the evidence of all nodes that have some.
	evidence map[string]*roster.Evidence
	// gone are those of them whose back end has ended. Their records are forgotten after a while.
	gone map[string]bool
	// firstSeen is the time at which the node learned of each published crash, by back end.
	firstSeen map[string]time.Time
	// known are the quarantined requests. They stay when their evidence is removed.
	known map[fingerprint.Digest]roster.Quarantined
}

// state is the data against which requests are checked. It is immutable.
type state struct {
	held map[fingerprint.Digest]roster.Quarantined
	// suspects are the requests that were running at unexplained crashes.
	suspects map[fingerprint.Digest]bool
}

// New returns a quarantine without entries. The caller must register Follow as an observer of the
// roster.
func New(options Options) *Quarantine {
	if options.After == nil {
		options.After = func(delay time.Duration, run func()) {
			contained := func() { _ = contain.Run("evidence", options.Logger, run) }
			if delay <= 0 {
				go contained()
				return
			}
			time.AfterFunc(delay, contained)
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

// Idle reports whether there are no quarantined requests and no suspects. Requests then need no
// fingerprint.
func (q *Quarantine) Idle() bool {
	now := q.state.Load()
	return len(now.held)+len(now.suspects) == 0
}

// IsQuarantined reports whether a request is quarantined.
func (q *Quarantine) IsQuarantined(print fingerprint.Fingerprint) bool {
	held := q.state.Load().held
	_, content := held[print.Content]
	_, call := held[print.Call]
	return content || call
}

// IsSuspect reports whether a request was running at a crash whose cause is not yet known.
func (q *Quarantine) IsSuspect(print fingerprint.Fingerprint) bool {
	suspects := q.state.Load().suspects
	return suspects[print.Content] || suspects[print.Call]
}

// Quarantined returns all quarantined requests, ordered by digest.
func (q *Quarantine) Quarantined() []roster.Quarantined {
	var all []roster.Quarantined
	for _, held := range q.state.Load().held {
		all = append(all, held)
	}
	slices.SortFunc(all, func(a, b roster.Quarantined) int { return a.Digest.Compare(b.Digest) })
	return all
}

// ErrNotQuarantined is returned for a digest that is not quarantined.
var ErrNotQuarantined = errors.New("quarantine: no request with this digest is quarantined")

// Lift releases a request from quarantine at all nodes. It is quarantined again if two more back
// ends crash while running it.
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

// RecordCrash records a crash of the node's own back end. Requests that completed here recently are
// not suspected. It returns when the peers have been informed, or after a short timeout: a caller
// that receives its response sooner might retry at a node that does not suspect the request yet and
// crash further back ends.
func (q *Quarantine) RecordCrash(crash roster.Crash) {
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

// RecordSurvival records that the node's own back end has completed a request. A suspect is thereby
// cleared of the crashes known so far.
func (q *Quarantine) RecordSurvival(print fingerprint.Fingerprint) {
	q.completions.add(print, clock.Now())
	if !q.IsSuspect(print) {
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

// crashesDuring returns the back ends that crashed while running the request.
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

// update changes the node's own evidence and reports whether it changed.
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

// broadcastSoon broadcasts the record after clearanceDelay, once for all changes until then.
func (q *Quarantine) broadcastSoon() {
	if !q.broadcastPending.CompareAndSwap(false, true) {
		return
	}
	q.options.After(clearanceDelay, func() {
		q.broadcastPending.Store(false)
		q.options.Broadcast()
	})
}

// Follow processes changed records. It is called with the roster's lock held.
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

// updateEvidence stores the evidence in the records and reports whether it changed.
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

// recordFirstSeen records when published crashes were first seen and forgets all others. The lock
// must be held.
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

// evaluate derives new quarantined requests from the evidence, publishes the state, and returns the
// new entries.
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
		q.options.Logger.Error("limit of quarantined requests exceeded", zap.Int("held", len(q.known)), zap.Int("most", maxEntries))
	}
	q.publish(removed || len(fresh) > 0)
	return fresh
}

// removeLifted removes entries that were released from quarantine and reports whether there were
// any. The lock must be held.
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

// isLifted reports whether an entry was released from quarantine. The lock must be held.
func (q *Quarantine) isLifted(held roster.Quarantined) bool {
	return held.Lifts < q.liftCount(held.Digest)
}

// liftCount returns how often a request was released from quarantine, according to any node. The
// lock must be held.
func (q *Quarantine) liftCount(digest fingerprint.Digest) (count int) {
	for _, nodeEvidence := range q.evidence {
		count = max(count, nodeEvidence.LiftCount(digest))
	}
	return count
}

// digestKinds are the digests by which crashes are evaluated, in this order: if the content crashes
// back ends for all callers, the content is quarantined rather than the calls.
var digestKinds = [...]func(fingerprint.Fingerprint) fingerprint.Digest{content, call}

func content(print fingerprint.Fingerprint) fingerprint.Digest { return print.Content }
func call(print fingerprint.Fingerprint) fingerprint.Digest    { return print.Call }

// addEntry adds a quarantined request unless it is known, was released, or there are too many.
func (q *Quarantine) addEntry(held roster.Quarantined, fresh []roster.Quarantined) []roster.Quarantined {
	if _, known := q.known[held.Digest]; known || len(q.known) > maxEntries || q.isLifted(held) {
		return fresh
	}
	q.known[held.Digest] = held
	return append(fresh, held)
}

// publish replaces the state. The lock must be held.
func (q *Quarantine) publish(verdicts bool) {
	next := &state{held: q.state.Load().held, suspects: map[fingerprint.Digest]bool{}}
	if verdicts {
		next.held = make(map[fingerprint.Digest]roster.Quarantined, len(q.known))
		for digest, held := range q.known {
			next.held[digest] = held
		}
	}
	// An entry by one kind of digest explains crashes for both kinds, so the remaining open crashes
	// are known only now.
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

// open returns the crashes that no quarantined request explains, with the requests that are not
// cleared, and the services of the back ends. The lock must be held.
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

// clearanceKey identifies a request that did not cause the crash of a back end.
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

// explained reports whether a quarantined request was running at the crash.
func (q *Quarantine) explained(crash roster.Crash) bool {
	return slices.ContainsFunc(crash.Running, func(running fingerprint.Fingerprint) bool {
		_, byContent := q.known[running.Content]
		_, byCall := q.known[running.Call]
		return byContent || byCall
	})
}
