package configuration

import (
	"sync"
	"time"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/clock"
)

// proof is the last moment at which a node is known to have been level: it holds what was the
// newest configuration then. Only answers of the store make one; nodes pass it on with its age. It
// is safe for concurrent use.
type proof struct {
	mu sync.Mutex // guards all below
	// at is zero before the first proof.
	at time.Time
	// next is a proof for a version that the node does not hold yet; it counts once it does. Its
	// version is zero when there is none.
	next struct {
		version uint64
		at      time.Time
	}
}

// take takes in that there was no version above the given one at a moment, for a node that holds
// the other one; the lock is held.
func (p *proof) take(version uint64, at time.Time, held uint64) {
	switch {
	case version <= held:
		if at.After(p.at) {
			p.at = at
		}
	case at.After(p.next.at):
		p.next.version, p.next.at = version, at
	}
}

// settle has the next proof count when the node holds its version; the lock is held.
func (p *proof) settle(held uint64) {
	if p.next.version == 0 || p.next.version > held {
		return
	}
	p.take(p.next.version, p.next.at, held)
	p.next.version, p.next.at = 0, time.Time{}
}

// Proven takes in that there was no version above the given one at a moment, whoever proved
// it. It counts when the node holds that version or a newer one.
func (k *Keeper) Proven(version uint64, at time.Time) {
	if version == 0 {
		return
	}
	k.proof.mu.Lock()
	defer k.proof.mu.Unlock()
	k.proof.take(version, at, k.Version())
}

// ProofAge returns how long ago the node is known to have been level; false before the first
// proof.
func (k *Keeper) ProofAge() (age time.Duration, proven bool) {
	k.proof.mu.Lock()
	defer k.proof.mu.Unlock()
	k.proof.settle(k.Version())
	if k.proof.at.IsZero() {
		return 0, false
	}
	return clock.Since(k.proof.at), true
}

// LevelWithin reports whether the node is known to have been level at most so long ago.
func (k *Keeper) LevelWithin(span time.Duration) bool {
	age, proven := k.ProofAge()
	return proven && age <= span
}
