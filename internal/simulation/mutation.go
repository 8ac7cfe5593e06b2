package simulation

import (
	"time"

	"github.com/kestrelstream/kestrelstream/internal/distribution"
	"github.com/kestrelstream/kestrelstream/internal/projection"
	"github.com/kestrelstream/kestrelstream/internal/resource"
)

// Mutation is a deliberately broken variant. Each must be caught by the
// checker: one that can't fail proves nothing.
type Mutation string

// The broken variants.
const (
	// NoMutation is the system as it is.
	NoMutation Mutation = ""
	// MutationNoVersionCheck: proxies take whatever a relay holds, however
	// old, and relays serve whoever asks.
	MutationNoVersionCheck Mutation = "apply-without-version-check"
	// MutationApplyInParts: proxies swap services first and routes later.
	MutationApplyInParts Mutation = "apply-in-parts"
	// MutationAckBeforeApply: proxies report a version before it is in force.
	MutationAckBeforeApply Mutation = "ack-before-apply"
	// MutationSkipClosure: relays leave a service out, and nobody checks.
	MutationSkipClosure Mutation = "skip-closure"
	// MutationTrustLease: the holder of the first reader slot writes the log
	// without a condition, since it believes to be the only one.
	MutationTrustLease Mutation = "trust-the-lease"
	// MutationResend: callers repeat a non-repeatable call whose outcome is
	// unknown.
	MutationResend Mutation = "resend-non-repeatable"
	// MutationWorkWhileDraining: callers and back ends go on while draining.
	MutationWorkWhileDraining Mutation = "work-while-draining"
	// MutationDropEntry: of every few entries one is lost between a parent
	// and a control child.
	MutationDropEntry Mutation = "drop-an-entry"
)

// Mutations lists the broken variants with the promises of which at least one
// must be found broken.
var Mutations = map[Mutation][]Promise{
	MutationNoVersionCheck:    {PromiseNeverBack},
	MutationApplyInParts:      {PromiseWhole},
	MutationAckBeforeApply:    {PromiseReportsTrue},
	MutationSkipClosure:       {PromiseClosed},
	MutationTrustLease:        {PromiseNeverReverts},
	MutationResend:            {PromiseAtMostOnce},
	MutationWorkWhileDraining: {PromiseDrain},
	MutationDropEntry:         {PromiseConverges},
}

// mutationDelay is how long the later part of a broken step takes.
const mutationDelay = 5 * time.Millisecond

// mutateHello has a broken child claim to hold nothing, so that any relay
// serves it.
func (w *World) mutateHello(child *node, hello *distribution.Hello) {
	if w.mutation == MutationNoVersionCheck && child.proxy != nil {
		hello.Version, hello.Digest = 0, ""
	}
}

// receiveAtProxy hands a message to the subscriber; broken variants apply some
// of it behind its back.
func (w *World) receiveAtProxy(c *connection, message *distribution.Message) {
	n := c.child
	unchecked := w.mutation == MutationNoVersionCheck || w.mutation == MutationSkipClosure
	if unchecked && message.Snapshot != nil {
		w.enforced(n, message.Snapshot)
	}
	w.runProxy(n, n.proxy.subscriber.Received(w.clock.time(), message))
}

// dropPeriod: one in that many messages with entries is lost.
const dropPeriod = 10

// mutateMessage returns what a control child is given of a message.
func (w *World) mutateMessage(message *distribution.Message) *distribution.Message {
	if w.mutation != MutationDropEntry || len(message.Entries) == 0 || w.loadRandom.IntN(dropPeriod) > 0 {
		return message
	}
	lossy := *message
	lossy.Entries = nil
	return &lossy
}

func (w *World) enforceInParts(n *node, snapshot *projection.Snapshot) {
	part := *n.proxy.inForce
	part.Version = snapshot.Version
	part.Services = snapshot.Services
	w.enforced(n, &part)
	w.deliver(n, w.clock.now+mutationDelay, func() { w.enforced(n, snapshot) })
}

// projectWithout leaves out the first service in name order that a route of
// the snapshot needs.
func projectWithout(state *resource.State, entitlement projection.Entitlement) *projection.Snapshot {
	snapshot := projection.Project(state, entitlement)
	for _, route := range state.List(resource.KindRoute) {
		if snapshot.Routes[route.Metadata.Name] != nil {
			delete(snapshot.Services, route.Route.Service)
			break
		}
	}
	snapshot.Digest = snapshot.ComputeDigest()
	return snapshot
}
