package configuration

import (
	"sync"
	"time"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/clock"
)

// proof is the last moment at which a node is known to have been level: it holds what was the
// newest configuration then. It is safe for concurrent use.
type proof struct {
	mu sync.Mutex // guards at
	// at is zero before the first proof.
	at time.Time
}

// Proven takes in that there was no version above the given one at a moment, whoever proved
// it. It counts when the node holds that version or a newer one.
func (k *Keeper) Proven(version uint64, at time.Time) {
	if version == 0 || version > k.Version() {
		return
	}
	k.proof.mu.Lock()
	defer k.proof.mu.Unlock()
	if at.After(k.proof.at) {
		k.proof.at = at
	}
}

// ProofAge returns how long ago the node is known to have been level; false before the first
// proof.
func (k *Keeper) ProofAge() (age time.Duration, proven bool) {
	k.proof.mu.Lock()
	defer k.proof.mu.Unlock()
	if k.proof.at.IsZero() {
		return 0, false
	}
	return clock.Since(k.proof.at), true
}
