package configuration

import (
	"sync/atomic"
	"time"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/clock"
)

// proof is the last moment at which a node is known to have been level: it holds what was the
// newest configuration then. Only answers of the store make one; nodes pass it on with its age. It
// is safe for concurrent use.
type proof struct{ current atomic.Pointer[proofState] }

// proofState is what a node knows at one time. It is immutable.
type proofState struct {
	// at is zero before the first proof.
	at time.Time
	// nextAt is the moment of a proof for nextVersion, which the node does not hold yet: it counts
	// once it does. The version is zero when there is none.
	nextAt      time.Time
	nextVersion uint64
}

// record takes in that there was no version above the given one at a moment, for a node that holds
// the other one.
func (p *proof) record(version uint64, at time.Time, current uint64) {
	for {
		before := p.current.Load()
		after := before.resolve(current)
		switch {
		case version > current && at.After(after.nextAt):
			after.nextVersion, after.nextAt = version, at
		case version <= current && at.After(after.at):
			after.at = at
		default:
			return
		}
		if p.current.CompareAndSwap(before, &after) {
			return
		}
	}
}

// resolve returns what is known once the node holds a version.
func (p *proofState) resolve(current uint64) proofState {
	if p == nil {
		return proofState{}
	}
	known := *p
	if known.nextVersion == 0 || known.nextVersion > current {
		return known
	}
	if known.nextAt.After(known.at) {
		known.at = known.nextAt
	}
	known.nextVersion, known.nextAt = 0, time.Time{}
	return known
}

// RecordProof takes in that there was no version above the given one at a moment, whoever proved
// it. It counts when the node holds that version or a newer one.
func (k *Keeper) RecordProof(version uint64, at time.Time) {
	if version > 0 {
		k.proof.record(version, at, k.Version())
	}
}

// ProofAge returns how long ago the node is known to have been level; false before the first
// proof.
func (k *Keeper) ProofAge() (age time.Duration, proven bool) {
	known := k.proof.current.Load().resolve(k.Version())
	if known.at.IsZero() {
		return 0, false
	}
	return clock.Since(known.at), true
}

// UpToDateWithin reports whether the node is known to have been level at most so long ago.
func (k *Keeper) UpToDateWithin(span time.Duration) bool {
	age, proven := k.ProofAge()
	return proven && age <= span
}
