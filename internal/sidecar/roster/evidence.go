package roster

import (
	"slices"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/fingerprint"
)

// Evidence is a node's knowledge of requests that crash the back ends that run them. It is
// immutable.
type Evidence struct {
	// Crashes are the most recent crashes of the node's own back end whose cause is not yet known,
	// newest last.
	Crashes []Crash `json:"crashes,omitempty"`
	// Cleared are requests that completed here although an earlier back end had crashed while
	// running them.
	Cleared []Clearance `json:"cleared,omitempty"`
	// Quarantined are requests that must not be sent to any back end, newest last. The node's own
	// back end crashed while running each, or the entry was inherited from a node that has gone.
	Quarantined []Quarantined `json:"held,omitempty"`
	// Lifted are requests that an operator has released from quarantine, newest last.
	Lifted []Lift `json:"lifted,omitempty"`
}

// Crash is the unplanned end of one back end.
type Crash struct {
	// Endpoint is the incarnation of the back end, as formatted by Incarnation.String.
	Endpoint string `json:"endpoint"`
	Service  string `json:"service"`
	// Running are the requests in progress at the time.
	Running []fingerprint.Fingerprint `json:"running"`
	// Trial is the running request that was already a suspect before it started, nil if there was
	// none. A back end runs one suspect at a time.
	Trial *fingerprint.Fingerprint `json:"trial,omitempty"`
}

// Clearance states that a request that was running when back ends crashed did not cause those
// crashes.
type Clearance struct {
	fingerprint.Fingerprint
	// Endpoints are the crashed back ends that were known when the request completed successfully.
	Endpoints []string `json:"endpoints"`
}

// Quarantined is a request that must not be sent to any back end.
type Quarantined struct {
	Digest  fingerprint.Digest `json:"digest"`
	Service string             `json:"service"`
	// Endpoints are back ends that crashed while running it.
	Endpoints []string `json:"endpoints"`
	// Lifts is how often the request had been released from quarantine when this entry was made.
	// The entry is void once the count is higher.
	Lifts int `json:"lifts,omitempty"`
}

// Lift counts how often a request was released from quarantine.
type Lift struct {
	Digest fingerprint.Digest `json:"digest"`
	Count  int                `json:"count"`
}

// Limits on the evidence of one node. A record with all of it has 26 KB (TestEvidenceIsBounded) and
// is sent with each exchange. Cleared requests and explained crashes are removed, and without
// crashes there is no evidence.
const (
	// maxCrashes bounds the unexplained crashes of a node. It exceeds the number of crashes in a
	// row that one request may cause.
	maxCrashes = 8
	// maxRunningPerCrash bounds the requests listed for one crash; back ends have fewer slots.
	maxRunningPerCrash = 32
	maxClearances      = 32
	// maxQuarantined bounds the quarantined requests that a node publishes, and separately those it
	// has released. Each entry costs its sender two back-end crashes, so pushing one out is
	// expensive.
	maxQuarantined = 64
)

// Full reports whether another quarantined request would push out an earlier one.
func (e *Evidence) Full() bool { return len(e.Quarantined) >= maxQuarantined }

// Bounded returns the evidence cut down to its newest entries, nil if there is none.
func (e Evidence) Bounded() *Evidence {
	e.Crashes = newest(e.Crashes, maxCrashes)
	e.Cleared = newest(e.Cleared, maxClearances)
	e.Quarantined = newest(e.Quarantined, maxQuarantined)
	e.Lifted = newest(e.Lifted, maxQuarantined)
	for i, crash := range e.Crashes {
		if len(crash.Running) > maxRunningPerCrash {
			e.Crashes = slices.Clone(e.Crashes)
			e.Crashes[i].Running = crash.Running[:maxRunningPerCrash]
		}
	}
	if len(e.Crashes)+len(e.Cleared)+len(e.Quarantined)+len(e.Lifted) == 0 {
		return nil
	}
	return &e
}

func newest[T any](list []T, limit int) []T { return list[max(0, len(list)-limit):] }

// Clone returns a copy whose lists can be changed. The clone of nil is empty.
func (e *Evidence) Clone() Evidence {
	if e == nil {
		return Evidence{}
	}
	return Evidence{
		Crashes: slices.Clone(e.Crashes), Cleared: slices.Clone(e.Cleared),
		Quarantined: slices.Clone(e.Quarantined), Lifted: slices.Clone(e.Lifted),
	}
}

// SameQuarantined reports whether both have the same quarantined requests in the same order.
func (e *Evidence) SameQuarantined(other *Evidence) bool {
	return slices.EqualFunc(e.Clone().Quarantined, other.Clone().Quarantined, sameDigest)
}

func sameDigest(a, b Quarantined) bool { return a.Digest == b.Digest }

// LiftCount returns how often, as far as the node knows, a request was released from quarantine.
func (e *Evidence) LiftCount(digest fingerprint.Digest) (count int) {
	for _, lifted := range e.Lifted {
		if lifted.Digest == digest {
			count = max(count, lifted.Count)
		}
	}
	return count
}

// mergeEvidence combines the node's evidence with that of a previous run of the node.
func mergeEvidence(own, previous *Evidence) *Evidence {
	if previous == nil {
		return own
	}
	merged := previous.Clone()
	current := own.Clone()
	merged.Crashes = union(merged.Crashes, current.Crashes, func(a, b Crash) bool { return a.Endpoint == b.Endpoint })
	merged.Cleared = union(merged.Cleared, current.Cleared, func(a, b Clearance) bool { return a.Call == b.Call })
	merged.Quarantined = union(merged.Quarantined, current.Quarantined, sameDigest)
	merged.Lifted = union(merged.Lifted, current.Lifted, func(a, b Lift) bool { return a == b })
	return merged.Bounded()
}

// union appends the items of the second list that the first one lacks.
func union[T any](first, second []T, same func(a, b T) bool) []T {
	for _, item := range second {
		if !slices.ContainsFunc(first, func(existing T) bool { return same(existing, item) }) {
			first = append(first, item)
		}
	}
	return first
}
