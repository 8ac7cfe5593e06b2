// Package sidecar is the node beside one back end: it serves the callers and
// the back end of its machine, follows the configuration, and knows the other
// nodes. It needs no disk and no other machine but the store and its peers.
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

// Settings are what a sidecar is told before it starts.
type Settings struct {
	// Node names this node among all; Host is its address without a port.
	Node, Zone, Region, Host string
	// Regions holds the region of each zone, as far as known.
	Regions map[string]string
	// Service is that of the back end beside the node.
	Service string
	// BackendAddress is the back end's own listener, host:port.
	BackendAddress string
	// StoreAddress is the platform's store, host:port.
	StoreAddress string
	// ValueBytes is the longest value that the store takes.
	ValueBytes int64
	Listen     Listen
	// MemoryBytes is what the process may use; zero means no bound.
	MemoryBytes int64
	// LinkMbps is the speed of the machine's link in Mbit/s; zero when unknown.
	LinkMbps int
	// FirstStart: the whole system starts for the first time, so that no node has
	// left anything in the store.
	FirstStart bool
	// HeartbeatInterval is the usual time between two heartbeats of a back end.
	HeartbeatInterval time.Duration
	// ApplyBound is how long after its acknowledgement a version may still not be in force; zero
	// means exchange.DefaultBound.
	ApplyBound time.Duration
	// DrainBound is how long after its word that it is leaving a back end may
	// still get new work.
	DrainBound time.Duration
	// Grace is the time between the request to stop and the forced end.
	Grace time.Duration
	// Retries bound the repeated sends of all nodes together.
	Retries repeats.Limits
	// Quota says what tenants' limits bind to.
	Quota quota.Bounds
	// OverloadControl says whether requests compete for room (contention.Auto when empty).
	OverloadControl contention.Mode
	// LendRepeats: where requests compete for room, nodes lend each other their shares of the repeats.
	LendRepeats bool
	// Rollout bounds what a version that turns out to be bad may get.
	Rollout rollout.Limits
}

// applyBound is ApplyBound, never zero.
func (s *Settings) applyBound() time.Duration {
	return cmp.Or(s.ApplyBound, exchange.DefaultBound)
}

// Listen holds the addresses to bind, host:port.
type Listen struct {
	// Outbound takes callers' requests, Inbound those of other nodes.
	Outbound, Inbound string
	// Peer takes exchanges of other nodes.
	Peer string
	// Readiness and Control are asked and told by the platform.
	Readiness, Control string
	// Metrics serves metrics; empty serves none.
	Metrics string
}
