package egress

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/clock"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/roster"
)

// errSilent is the cause that cancels attempts at a node which does not answer probes.
var errSilent = errors.New("the node does not answer probes")

const (
	// A node is probed when a request has waited for probeDelayFactor times its expected processing
	// time, but at least minProbeDelay.
	probeDelayFactor = 2.5
	minProbeDelay    = 120 * time.Millisecond
	// probeInterval is the time between two probes of a node that does not answer.
	probeInterval = 150 * time.Millisecond
	// silentAvoidance is the time for which a node is avoided after each unanswered probe.
	silentAvoidance = 1500 * time.Millisecond
	// maxSilentProbes limits how often such a node is probed in a row.
	maxSilentProbes = 40
	// abandonAfterProbes is the number of unanswered probes after which an attempt is abandoned.
	// After the first the node is only suspected: this node may be the slow one, and a request that
	// a back end is processing must not be broken off for that. During a planned stop no attempt is
	// abandoned because of probes.
	abandonAfterProbes = 3
)

// Probe checks whether a node responds; an error means that it did not answer in time.
type Probe func(ctx context.Context, record *roster.Record) error

// outstanding holds the attempts at one node that wait for its response.
type outstanding struct {
	mutex   sync.Mutex // guards the fields below
	entries map[*pending]struct{}
	// probing: a probe is in progress, or the node did not answer and is probed repeatedly.
	probing bool
	// alive is the time of the node's last answer of any kind.
	alive time.Time
}

// pending is one attempt that waits for a response.
type pending struct {
	attempt *attempt
	timer   *time.Timer
	// missed counts the unanswered probes.
	missed int
}

// register adds an attempt: it is suspected when its node does not answer a probe, and abandoned
// when it does not answer several.
func (h *Handler) register(a *attempt) *pending {
	record, peer := a.record, a.target
	entry := &pending{attempt: a}
	probeDelay := max(time.Duration(float64(a.seen.ServiceTime)*probeDelayFactor), minProbeDelay)
	sent := clock.Now()
	waiting := &peer.outstanding
	waiting.mutex.Lock()
	if waiting.entries == nil {
		waiting.entries = map[*pending]struct{}{}
	}
	waiting.entries[entry] = struct{}{}
	entry.timer = time.AfterFunc(probeDelay, func() { h.probeIfSilent(record, peer, entry, sent, probeDelay) })
	waiting.mutex.Unlock()
	return entry
}

// answered removes an attempt; alive: the node itself has responded.
func (o *outstanding) answered(entry *pending, alive bool, now time.Time) {
	o.mutex.Lock()
	delete(o.entries, entry)
	if alive {
		o.alive = now
	}
	o.mutex.Unlock()
	entry.timer.Stop()
}

// probeIfSilent probes a node whose response is overdue, unless the node has answered anything else
// since.
func (h *Handler) probeIfSilent(record *roster.Record, peer *target, entry *pending, since time.Time, probeDelay time.Duration) {
	waiting := &peer.outstanding
	waiting.mutex.Lock()
	_, waits := waiting.entries[entry]
	responsive := waiting.alive.After(since)
	probe := waits && !responsive && !waiting.probing
	if probe {
		waiting.probing = true
	}
	if waits {
		now := clock.Now()
		entry.timer = time.AfterFunc(probeDelay, func() { h.probeIfSilent(record, peer, entry, now, probeDelay) })
	}
	waiting.mutex.Unlock()
	if probe {
		h.probeUntilAnswered(record, peer)
	}
}

// probeUntilAnswered probes a node until it answers or maxSilentProbes is reached. Meanwhile the
// node is avoided, and the attempts that wait for it are notified of each unanswered probe.
func (h *Handler) probeUntilAnswered(record *roster.Record, peer *target) {
	defer func() {
		peer.silent.Store(false)
		peer.outstanding.mutex.Lock()
		peer.outstanding.probing = false
		peer.outstanding.mutex.Unlock()
	}()
	for probes := 0; probes < maxSilentProbes; probes++ {
		if h.options.Probe(h.callsContext, record) == nil {
			h.markRecovered(peer, probes > 0)
			return
		}
		h.options.Observer.ProbeFailed(peer.node, probes == 0)
		peer.silent.Store(true)
		peer.avoidUntil.Store(clock.Stamp(clock.Now().Add(silentAvoidance)))
		peer.outstanding.recordMissedProbe()
		time.Sleep(probeInterval)
	}
}

// markRecovered ends the avoidance of a node that did not answer probes.
func (h *Handler) markRecovered(peer *target, wasSilent bool) {
	peer.outstanding.mutex.Lock()
	peer.outstanding.alive = clock.Now()
	peer.outstanding.mutex.Unlock()
	if wasSilent {
		peer.succeeded()
		peer.avoidUntil.Store(0)
		h.options.Observer.Recovered(peer.node)
	}
}

// recordMissedProbe notifies every waiting attempt of an unanswered probe.
func (o *outstanding) recordMissedProbe() {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	for entry := range o.entries {
		entry.missed++
		switch entry.missed {
		case 1:
			entry.attempt.markSuspected()
		case abandonAfterProbes:
			entry.attempt.abandonUnlessStopping()
		}
	}
}
