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
	suspicionFactor = 2.5
	suspicionLeast  = 120 * time.Millisecond
	// probeInterval is the time between two probes of a silent node.
	probeInterval = 150 * time.Millisecond
	// silentAvoid is how long a silent node is avoided after each probe.
	silentAvoid = 1500 * time.Millisecond
	// silentProbes bounds how often a silent node is probed in a row.
	silentProbes = 40
	// lostProbes is after how many probes without an answer a send is given up.
	// After the first it is only suspected: this node may be the slow one, and a
	// request at which a back end is at work is not to be broken off for that. In a
	// planned stop nothing is given up for it.
	lostProbes = 3
)

// Probe asks a node whether it is there; an error means that it did not answer
// in time.
type Probe func(ctx context.Context, record *roster.Record) error

// outstanding are the visits to one node that wait for its answer.
type outstanding struct {
	mutex  sync.Mutex // guards all below
	visits map[*pending]struct{}
	// probing: a probe is going on, or the node is silent and watched.
	probing bool
	// heard is when the node last answered anything.
	heard time.Time
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
	record, held := a.record, a.target
	entry := &pending{attempt: a}
	patience := max(time.Duration(float64(a.seen.ServiceTime)*suspicionFactor), suspicionLeast)
	sent := clock.Now()
	waiting := &held.outstanding
	waiting.mutex.Lock()
	if waiting.visits == nil {
		waiting.visits = map[*pending]struct{}{}
	}
	waiting.visits[entry] = struct{}{}
	entry.timer = time.AfterFunc(patience, func() { h.suspect(record, held, entry, sent, patience) })
	waiting.mutex.Unlock()
	return entry
}

// answered takes a visit out; heard says that the node itself said something.
func (o *outstanding) answered(entry *pending, heard bool, now time.Time) {
	o.mutex.Lock()
	delete(o.visits, entry)
	if heard {
		o.heard = now
	}
	o.mutex.Unlock()
	entry.timer.Stop()
}

// suspect probes a node from which a request has waited long for an answer,
// unless it has answered anything else since.
func (h *Handler) suspect(record *roster.Record, held *target, entry *pending, since time.Time, patience time.Duration) {
	waiting := &held.outstanding
	waiting.mutex.Lock()
	_, waits := waiting.visits[entry]
	lively := waiting.heard.After(since)
	probe := waits && !lively && !waiting.probing
	if probe {
		waiting.probing = true
	}
	if waits {
		now := clock.Now()
		entry.timer = time.AfterFunc(patience, func() { h.suspect(record, held, entry, now, patience) })
	}
	waiting.mutex.Unlock()
	if probe {
		h.watchSilence(record, held)
	}
}

// watchSilence probes a node until it answers. When it does not, it is avoided
// and what waits for it is told.
func (h *Handler) watchSilence(record *roster.Record, held *target) {
	defer func() {
		held.silent.Store(false)
		held.outstanding.mutex.Lock()
		held.outstanding.probing = false
		held.outstanding.mutex.Unlock()
	}()
	for probes := 0; probes < silentProbes; probes++ {
		if h.options.Probe(h.cutting, record) == nil {
			h.regained(held, probes > 0)
			return
		}
		h.options.Observer.Silent(held.node, probes == 0)
		held.silent.Store(true)
		held.avoidUntil.Store(clock.Stamp(clock.Now().Add(silentAvoid)))
		held.outstanding.miss()
		time.Sleep(probeInterval)
	}
}

// regained ends the avoidance of a node that was silent.
func (h *Handler) regained(held *target, wasSilent bool) {
	held.outstanding.mutex.Lock()
	held.outstanding.heard = clock.Now()
	held.outstanding.mutex.Unlock()
	if wasSilent {
		held.succeeded()
		held.avoidUntil.Store(0)
		h.options.Observer.Regained(held.node)
	}
}

// miss tells every send that waits of a probe without an answer.
func (o *outstanding) miss() {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	for entry := range o.visits {
		entry.missed++
		switch entry.missed {
		case 1:
			entry.attempt.suspect()
		case lostProbes:
			entry.attempt.lost()
		}
	}
}
