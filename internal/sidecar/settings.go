// Package sidecar implements a node of the mesh that runs beside one back end. It proxies the
// calls of local callers and the requests for the local back end, follows the configuration, and
// tracks the other nodes. It uses no disk and depends only on the store and its peers.
package sidecar

import (
	"cmp"
	"time"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/contention"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/exchange"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/quota"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/repeats"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/rollout"
)

// Settings configures a sidecar.
type Settings struct {
	// Node is the unique name of this node. Host is its address without a port.
	Node, Zone, Region, Host string
	// Regions maps zones to their regions, as far as known.
	Regions map[string]string
	// Service is the service of the local back end. If it is empty, the back end's heartbeats name it.
	Service string
	// BackendAddress is the address at which the back end listens, host:port.
	BackendAddress string
	// StoreAddress is the address of the platform's store, host:port.
	StoreAddress string
	// ValueBytes is the size of the largest value that the store accepts.
	ValueBytes int64
	Listen     Listen
	// MemoryBytes is the memory that the process may use; zero means no limit.
	MemoryBytes int64
	// LinkMbps is the speed of the machine's network link in Mbit/s; zero if unknown.
	LinkMbps int
	// FirstStart means that the whole system starts for the first time, so that no node has
	// written anything to the store yet.
	FirstStart bool
	// HeartbeatInterval is the usual time between two heartbeats of a back end.
	HeartbeatInterval time.Duration
	// ApplyBound is the maximum time from the acknowledgement of a version until it is in force;
	// zero means exchange.DefaultBound.
	ApplyBound time.Duration
	// DrainBound is the maximum time for which a back end may still receive new requests after it
	// has announced that it is leaving.
	DrainBound time.Duration
	// Grace is the time between the request to stop and the forced end of the process.
	Grace time.Duration
	// Retries limits the retries of all nodes together.
	Retries repeats.Limits
	// Quota holds the bounds within which tenants' rate limits are enforced.
	Quota quota.Bounds
	// OverloadControl selects whether requests are treated as competing for capacity;
	// contention.Auto if empty.
	OverloadControl contention.Mode
	// LendRepeats lets nodes lend each other their shares of the retry budget where requests
	// compete for capacity.
	LendRepeats bool
	// MaxAnswerBytes bounds the body of an answer of the back end; zero for any size.
	MaxAnswerBytes int64
	// Rollout limits the requests that a faulty version may receive.
	Rollout rollout.Limits
}

// applyBound returns ApplyBound or its default.
func (s *Settings) applyBound() time.Duration {
	return cmp.Or(s.ApplyBound, exchange.DefaultBound)
}

// Listen holds the addresses to bind, host:port.
type Listen struct {
	// Outbound serves local callers, Inbound requests of other nodes for the local back end.
	Outbound, Inbound string
	// Peer serves state exchanges with other nodes.
	Peer string
	// Readiness serves the platform's readiness probes, Control the back end's heartbeats.
	Readiness, Control string
	// Metrics serves metrics; empty serves none.
	Metrics string
}
