package egress

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/clock"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/roster"
)

// errSilent is the cause by which visits to a silent node end.
var errSilent = errors.New("the node is silent")

const (
	// suspicionFactor and suspicionLeast say how long after a request was sent,
	// in units of the expected time and at least, the node is asked whether it
	// is there.
	probeDelayFactor = 2.5
	minProbeDelay    = 120 * time.Millisecond
	// probeInterval is the time between two probes of a silent node.
	probeInterval = 150 * time.Millisecond
	// silentAvoid is how long a silent node is avoided after each probe.
	silentAvoidance = 1500 * time.Millisecond
	// silentProbes bounds how often a silent node is probed in a row.
	maxSilentProbes = 40
	// lostProbes is after how many probes without an answer a send is given up.
	// After the first it is only suspected: this node may be the slow one, and a
	// request at which a back end is at work is not to be broken off for that. In a
	// planned stop nothing is given up for it.
	abandonAfterProbes = 3
)

// Probe asks a node whether it is there; an error means that it did not answer
// in time.
type Probe func(ctx context.Context, record *roster.Record) error

// outstanding are the visits to one node that wait for its answer.
type outstanding struct {
	mutex   sync.Mutex // guards all below
	entries map[*pending]struct{}
	// probing: a probe is going on, or the node is silent and watched.
	probing bool
	// heard is when the node last answered anything.
	alive time.Time
}

// pending is one visit that waits for an answer.
type pending struct {
	attempt *attempt
	timer   *time.Timer
	// missed counts the probes without an answer.
	missed int
}

// register notes a send: it is suspected when its node does not answer a probe,
// and given up when it does not answer several.
func (h *Handler) register(a *attempt) *pending {
	record, peer := a.record, a.target
	entry := &pending{attempt: a}
	probeDelay := max(time.Duration(float64(a.seen.Work)*probeDelayFactor), minProbeDelay)
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

// answered takes a visit out; heard says that the node itself said something.
func (o *outstanding) answered(entry *pending, alive bool, now time.Time) {
	o.mutex.Lock()
	delete(o.entries, entry)
	if alive {
		o.alive = now
	}
	o.mutex.Unlock()
	entry.timer.Stop()
}

// suspect probes a node from which a request has waited long for an answer,
// unless it has answered anything else since.
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

// watchSilence probes a node until it answers. When it does not, it is avoided
// and what waits for it is told.
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
		h.options.Observer.Silent(peer.node, probes == 0)
		peer.silent.Store(true)
		peer.avoidUntil.Store(clock.Stamp(clock.Now().Add(silentAvoidance)))
		peer.outstanding.recordMissedProbe()
		time.Sleep(probeInterval)
	}
}

// regained ends the avoidance of a node that was silent.
func (h *Handler) markRecovered(peer *target, wasSilent bool) {
	peer.outstanding.mutex.Lock()
	peer.outstanding.alive = clock.Now()
	peer.outstanding.mutex.Unlock()
	if wasSilent {
		peer.succeeded()
		peer.avoidUntil.Store(0)
		h.options.Observer.Regained(peer.node)
	}
}

// miss tells every send that waits of a probe without an answer.
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
