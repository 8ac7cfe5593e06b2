package roster

import (
	"slices"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/fingerprint"
)

// Evidence is what a node knows of requests that end the back ends that run them. It is
// immutable.
type Evidence struct {
	// Crashes are the last unplanned ends of back ends beside the node, the newest last,
	// as long as it is open which request made them.
	Crashes []Crash `json:"crashes,omitempty"`
	// Cleared are requests that came to an end here though a back end had ended under them.
	Cleared []Clearance `json:"cleared,omitempty"`
	// Quarantined are requests that no back end is to get, the newest last. The node saw a back
	// end end under each, or took it over from a node that has gone.
	Quarantined []Quarantined `json:"held,omitempty"`
	// Lifted are requests whose verdicts an operator has lifted, the newest last.
	Lifted []Lift `json:"lifted,omitempty"`
}

// Crash is the unplanned end of one back end.
type Crash struct {
	// Endpoint names the incarnation of the back end.
	Endpoint string `json:"endpoint"`
	Service  string `json:"service"`
	// Running is what was at work there.
	Running []fingerprint.Fingerprint `json:"running"`
	// Trial is the one of them that was suspected before it began, nil for none: a back end
	// runs one such request at a time.
	Trial *fingerprint.Fingerprint `json:"trial,omitempty"`
}

// Clearance says that a request that was at work when back ends ended did not end them.
type Clearance struct {
	fingerprint.Fingerprint
	// Endpoints are the back ends whose ends were known when the request came to a good
	// end.
	Endpoints []string `json:"endpoints"`
}

// Quarantined is a request that no back end is to get.
type Quarantined struct {
	Digest  fingerprint.Digest `json:"digest"`
	Service string             `json:"service"`
	// Endpoints are back ends that ended under it.
	Endpoints []string `json:"endpoints"`
	// Lifts is how often earlier verdicts on the request had been lifted when this one was
	// reached; it does not hold once there are more.
	Lifts int `json:"lifts,omitempty"`
}

// Lift says how often verdicts on a request were lifted.
type Lift struct {
	Digest fingerprint.Digest `json:"digest"`
	Count  int                `json:"count"`
}

// Bounds of the evidence of one node. A record with all of it has 26 KB (TestEvidenceIsBounded)
// and travels with each exchange; requests that are cleared, and ends that are explained, leave
// it. Without crashes there is none.
const (
	// maxCrashes is how many ends are open at a node at most: more of them in a row
	// than a request may cause.
	maxCrashes = 8
	// maxRunningPerCrash bounds the requests of one end; back ends have fewer slots.
	maxRunningPerCrash = 32
	maxClearances      = 32
	// maxQuarantined is how many verdicts a node keeps for all, and how many it has lifted.
	// Each costs its sender two back ends, so that nobody pushes one out cheaply.
	maxQuarantined = 64
)

// Full reports whether a further verdict would push out an earlier one.
func (e *Evidence) Full() bool { return len(e.Quarantined) >= maxQuarantined }

// Bounded returns the evidence cut down to its newest parts, nil when there is none.
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

// Clone returns a copy whose lists can be changed; an empty one of nil.
func (e *Evidence) Clone() Evidence {
	if e == nil {
		return Evidence{}
	}
	return Evidence{
		Crashes: slices.Clone(e.Crashes), Cleared: slices.Clone(e.Cleared),
		Quarantined: slices.Clone(e.Quarantined), Lifted: slices.Clone(e.Lifted),
	}
}

// SameQuarantined reports whether both hold back the same requests.
func (e *Evidence) SameQuarantined(other *Evidence) bool {
	return slices.EqualFunc(e.Clone().Quarantined, other.Clone().Quarantined, sameDigest)
}

func sameDigest(a, b Quarantined) bool { return a.Digest == b.Digest }

// LiftCount returns how often the node knows verdicts on a request to have been lifted.
func (e *Evidence) LiftCount(digest fingerprint.Digest) (count int) {
	for _, lifted := range e.Lifted {
		if lifted.Digest == digest {
			count = max(count, lifted.Count)
		}
	}
	return count
}

// mergeEvidence is what a node knows once an earlier life's evidence came to light.
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

// union appends what the first list lacks.
func union[T any](first, second []T, same func(a, b T) bool) []T {
	for _, item := range second {
		if !slices.ContainsFunc(first, func(existing T) bool { return same(existing, item) }) {
			first = append(first, item)
		}
	}
	return first
}
