// Package exchange implements the peer protocol of nodes, independent of the requests
// that they proxy: every node regularly compares its roster and its configuration's
// version with those of another node (gossip). What a node does not get from the store,
// it gets from its peers.
package exchange

import (
	"time"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/evacuation"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/rollout"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/roster"
)

// Message is a request or reply of an exchange.
type Message struct {
	// From is the sender's own record.
	From *roster.Record `json:"from"`
	// Digest is the digest of the sender's roster.
	Digest uint64 `json:"digest"`
	// Version is the version of the sender's configuration, zero without one.
	Version uint64 `json:"version"`
	// ProofAge is the age of the sender's proof that there was no newer version, in whole
	// microseconds; nil without one.
	ProofAge *int64 `json:"proofAge,omitempty"`
	// Buckets are the digests of the buckets of the sender's roster, when the digests of
	// the rosters differ.
	Buckets []uint32 `json:"buckets,omitempty"`
	// DifferingBuckets are the indexes, out of BucketCount, of the buckets that the sender
	// wants compared.
	DifferingBuckets []int `json:"differing,omitempty"`
	BucketCount      int   `json:"of,omitempty"`
	// Records are the sender's records in the differing buckets, as far as the receiver
	// needs them.
	Records []*roster.Record `json:"records,omitempty"`
	SharedState
}

// SharedState is the sender's knowledge of operators' orders other than the configuration, and of
// facts that hold for the whole deployment.
type SharedState struct {
	// Era is how often the store was restored from an older copy.
	Era uint64 `json:"era,omitempty"`
	// Rollouts are the roll-outs of back-end versions.
	Rollouts []rollout.SharedState `json:"rollouts,omitempty"`
	// Evacuations are the newest orders for zones that are, or were, to be evacuated.
	Evacuations []evacuation.Order `json:"evacuations,omitempty"`
	// SharedMachines reports whether some back end shares its machine with others and announces the
	// duration of its work.
	SharedMachines bool `json:"sharedMachines,omitempty"`
}

// VersionReply is a node's reply to a request for its version.
type VersionReply struct {
	// Version is that of the configuration in force, zero without one.
	Version uint64 `json:"version"`
	// ProofAge is as in Message.
	ProofAge *int64 `json:"proofAge,omitempty"`
}

// maxProofAge is the greatest age of a proof that is accepted.
const maxProofAge = 24 * time.Hour

// proofAge returns the age of a peer's proof, received in whole microseconds; false when there is
// none, or when it is out of range.
func proofAge(microseconds *int64) (age time.Duration, valid bool) {
	if microseconds == nil || *microseconds < 0 || *microseconds > maxProofAge.Microseconds() {
		return 0, false
	}
	return time.Duration(*microseconds) * time.Microsecond, true
}

// Notice notifies a peer of one node's record. The response has no body.
type Notice struct {
	// Record is the changed record; it is the sender's own unless the notice is forwarded.
	Record *roster.Record `json:"record"`
	// From is the sender's node and Version the version of its configuration.
	From    string `json:"from"`
	Version uint64 `json:"version"`
	// Relay asks the receiver to forward the record in its zone if it is new.
	Relay bool `json:"relay,omitempty"`
	SharedState
}

const (
	// recordsPerBucket is about how many records share a bucket.
	recordsPerBucket = 4
	minBuckets       = 8
	maxBuckets       = 4096
)

// bucketCount returns the number of buckets in which a roster of that many records is compared.
func bucketCount(records int) int {
	count := minBuckets
	for count < maxBuckets && count*recordsPerBucket < records {
		count *= 2
	}
	return count
}

// comparable reports whether the message requests a comparison with valid buckets.
func (m *Message) comparable() bool {
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
	pathVersion       = "/level"
	pathQuota         = "/quota"
	pathRepeats       = "/repeats"
	// queryAfter names the version that a node has when it requests a change.
	queryAfter = "after"
)
