// Package exchange is what nodes say to each other without being asked by a
// request: every node regularly compares its roster and its configuration's
// version with another one. What the store does not tell a node, its peers do.
package exchange

import (
	"time"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/evacuation"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/rollout"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/roster"
)

// Message is one side of an exchange.
type Message struct {
	// From is the sender's own record.
	From *roster.Record `json:"from"`
	// Digest is that of the sender's roster.
	Digest uint64 `json:"digest"`
	// Version is that of the sender's configuration, zero without one.
	Version uint64 `json:"version"`
	// ProofAge is how old the sender's proof is that there was no newer version, in whole
	// microseconds; nil without one.
	ProofAge *int64 `json:"proofAge,omitempty"`
	// Buckets are the digests of the sender's roster in parts, when the digests
	// differ.
	Buckets []uint32 `json:"buckets,omitempty"`
	// DifferingBuckets are the parts, of Of in all, that the sender wants compared.
	DifferingBuckets []int `json:"differing,omitempty"`
	BucketCount        int   `json:"of,omitempty"`
	// Records are the sender's in the differing parts, as far as the receiver
	// needs them.
	Records []*roster.Record `json:"records,omitempty"`
	SharedState
}

// SharedState is what operators have ordered beside the configuration, and what holds for the whole
// deployment, as the sender knows it.
type SharedState struct {
	// Era is how often the store has come back from an older copy.
	Era uint64 `json:"era,omitempty"`
	// Rollouts are the moves to other versions.
	Rollouts []rollout.Told `json:"rollouts,omitempty"`
	// Evacuations are the newest words on zones that are, or were, to be emptied.
	Evacuations []evacuation.Order `json:"evacuations,omitempty"`
	// SharedMachines: some back end shares its machine with others, and tells how long work takes.
	SharedMachines bool `json:"sharedMachines,omitempty"`
}

// VersionReply is what a node answers that is asked whether there is a newer configuration.
type VersionReply struct {
	// Version is that of the configuration in force, zero without one.
	Version uint64 `json:"version"`
	// ProofAge is as in Message.
	ProofAge *int64 `json:"proofAge,omitempty"`
}

// maxProofAge is the greatest age of a proof that is believed.
const maxProofAge = 24 * time.Hour

// proofAge returns how old a peer's proof is that came in whole microseconds; false when there is
// none, or one that cannot be.
func proofAge(told *int64) (age time.Duration, valid bool) {
	if told == nil || *told < 0 || *told > maxProofAge.Microseconds() {
		return 0, false
	}
	return time.Duration(*told) * time.Microsecond, true
}

// Notice tells a peer of one node's record. Nothing is answered.
type Notice struct {
	// Record is the news; it is the sender's own unless the notice is relayed.
	Record *roster.Record `json:"record"`
	// From is the sender's node and Version that of its configuration.
	From    string `json:"from"`
	Version uint64 `json:"version"`
	// Relay asks the receiver to pass the news on in its zone.
	Relay bool `json:"relay,omitempty"`
	SharedState
}

const (
	// recordsPerBucket is about how many records share a part.
	recordsPerBucket = 4
	minBuckets     = 8
	maxBuckets      = 4096
)

// bucketCount is in how many parts a roster of that many records is compared.
func bucketCount(records int) int {
	count := minBuckets
	for count < maxBuckets && count*recordsPerBucket < records {
		count *= 2
	}
	return count
}

// validComparison reports whether the message asks for a comparison that can be made.
func (m *Message) validComparison() bool {
	if m.BucketCount < 1 || m.BucketCount > maxBuckets || len(m.DifferingBuckets) > m.BucketCount {
		return false
	}
	for _, index := range m.DifferingBuckets {
		if index < 0 || index >= m.BucketCount {
			return false
		}
	}
	return true
}

// Paths of the peer listener.
const (
	PathRoot          = "/v1"
	pathExchange      = "/exchange"
	pathNotice        = "/notice"
	pathPing          = "/ping"
	pathConfiguration = "/configuration"
	pathVersion         = "/level"
	pathQuota         = "/quota"
	pathRepeats       = "/repeats"
	// queryAfter names the version that a node has when it asks for a later one.
	queryAfter = "after"
)
