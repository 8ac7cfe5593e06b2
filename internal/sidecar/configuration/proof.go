package configuration

import (
	"sync/atomic"
	"time"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/clock"
)

// proof records the last moment at which a node is known to have been up to date, that is, at
// which the version it holds was the newest. Only answers of the store constitute a proof; nodes
// pass it on to each other with its age. It is safe for concurrent use.
type proof struct{ current atomic.Pointer[proofState] }

// proofState is a snapshot of a node's proofs. It is immutable.
type proofState struct {
	// at is the moment of the newest proof for the version that the node holds, zero before the first.
	at time.Time
	// nextAt is the moment of a proof for nextVersion, which the node does not hold yet; the proof
	// takes effect once it does. nextVersion is zero when there is none.
	nextAt      time.Time
	nextVersion uint64
}

// record records a proof that there was no newer version than the given one at a moment, for a node
// that holds the current one.
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

// resolve returns the state for a node that holds the current version: a proof for that version or
// an older one takes effect.
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

// RecordProof records a proof, from any source, that there was no newer version than the given one
// at a moment. It takes effect once the node holds that version or a newer one.
func (k *Keeper) RecordProof(version uint64, at time.Time) {
	if version > 0 {
		k.proof.record(version, at, k.Version())
	}
}

// ProofAge returns how long ago the node was last known to be up to date; false before the first
// proof.
func (k *Keeper) ProofAge() (age time.Duration, proven bool) {
	known := k.proof.current.Load().resolve(k.Version())
	if known.at.IsZero() {
		return 0, false
	}
	return clock.Since(known.at), true
}

// UpToDateWithin reports whether the node is known to have been up to date within the last span.
func (k *Keeper) UpToDateWithin(span time.Duration) bool {
	age, proven := k.ProofAge()
	return proven && age <= span
}
