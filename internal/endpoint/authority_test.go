package endpoint_test

import (
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kestrelstream/kestrelstream/internal/endpoint"
)

var (
	startTime = time.UnixMilli(1_000_000)
	own       = endpoint.Update{
		ID: endpoint.ID{Service: "tariff", Name: "a"}, Incarnation: uint64(startTime.UnixMilli()), State: endpoint.Ready,
		Zone: "north", Address: "10.0.0.1:80",
	}
)

// TestAuthorityObserves checks which updates from other nodes an authority
// answers, and that its answer supersedes them.
func TestAuthorityObserves(t *testing.T) {
	later := func(after time.Duration) uint64 { return uint64(startTime.Add(after).UnixMilli()) }
	initial := own
	initial.Sequence = 2
	cases := []struct {
		name     string
		update   endpoint.Update
		answered bool
		state    endpoint.State
	}{
		{name: "the authority's own update", update: initial},
		{name: "an earlier incarnation", update: endpoint.Update{ID: own.ID, Incarnation: own.Incarnation - 1, Sequence: 9}},
		{name: "another endpoint", update: endpoint.Update{ID: endpoint.ID{Service: "tariff", Name: "b"}, Incarnation: later(time.Hour), Sequence: 9}},
		{name: "a relay's override to down", update: initial.RelayOverride(endpoint.Down), answered: true, state: endpoint.Ready},
		{name: "a relay's override to draining", update: initial.RelayOverride(endpoint.Draining), answered: true, state: endpoint.Draining},
		{name: "a successor's, after this process was paused", update: endpoint.Update{ID: own.ID, Incarnation: later(time.Second), Sequence: 2, State: endpoint.Ready}},
		{name: "a predecessor's, after the clock was set back", update: endpoint.Update{ID: own.ID, Incarnation: later(time.Hour), Sequence: 8, State: endpoint.Down}, answered: true, state: endpoint.Ready},
		{name: "the highest incarnation, which cannot be superseded", update: endpoint.Update{ID: own.ID, Incarnation: math.MaxUint64, Sequence: 8}},
	}
	for _, observed := range cases {
		t.Run(observed.name, func(t *testing.T) {
			g := NewWithT(t)
			authority := endpoint.NewAuthority(own)
			before := authority.Current()
			answer, answered := authority.Observe(startTime.Add(time.Minute), observed.update)
			g.Expect(answered).To(Equal(observed.answered))
			if !answered {
				g.Expect(authority.Current()).To(Equal(before))
				return
			}
			g.Expect(answer.State).To(Equal(observed.state))
			g.Expect(answer.Address).To(Equal(own.Address))
			g.Expect(answer.Compare(observed.update)).To(BeNumerically(">", 0))
			g.Expect(answer.IsRelayOverride()).To(BeFalse())
		})
	}
}

// TestLeavingMachineStaysDraining checks that a back end which starts or recovers
// on a machine that the platform lists as leaving receives no new work.
func TestLeavingMachineStaysDraining(t *testing.T) {
	g := NewWithT(t)
	warming := own
	warming.State = endpoint.Warming
	authority := endpoint.NewAuthority(warming)
	_, answered := authority.Observe(startTime, authority.Current().RelayOverride(endpoint.Draining))
	g.Expect(answered).To(BeTrue())
	_, changed := authority.Set(endpoint.Ready)
	g.Expect(changed).To(BeFalse())
	g.Expect(authority.Current().State).To(Equal(endpoint.Draining))
	down, changed := authority.Set(endpoint.Down)
	g.Expect(changed).To(BeTrue())
	g.Expect(down.State).To(Equal(endpoint.Down))
	up, changed := authority.Set(endpoint.Warming)
	g.Expect(changed).To(BeTrue())
	g.Expect(up.State).To(Equal(endpoint.Draining))
}

// TestProxyBelievesTheRelayItIsAttachedTo checks that a proxy reverts an override
// to down when the relay that it is attached to now still reports the update
// that another relay overrode, and that a relay's table does not.
func TestProxyBelievesTheRelayItIsAttachedTo(t *testing.T) {
	ready := own
	ready.Sequence = 4
	older, draining := ready, ready
	older.Sequence = 2
	draining.State = endpoint.Draining
	cases := []struct {
		name     string
		held     endpoint.Update
		received endpoint.Update
		accepted bool
	}{
		{"the update that was overridden to down", ready.RelayOverride(endpoint.Down), ready, true},
		{"an older update than the one overridden to down", ready.RelayOverride(endpoint.Down), older, false},
		{"the update that was overridden to draining", ready.RelayOverride(endpoint.Draining), ready, false},
		{"an older update than the authority's own draining", draining, older, false},
	}
	for _, received := range cases {
		t.Run(received.name, func(t *testing.T) {
			g := NewWithT(t)
			atProxy, atRelay := endpoint.NewTable(), endpoint.NewTable()
			atProxy.Merge(received.held)
			atRelay.Merge(received.held)
			g.Expect(atProxy.MergeAtProxy(received.received)).To(Equal(received.accepted))
			g.Expect(atRelay.Merge(received.received)).To(BeFalse())
			held, _ := atProxy.Get(own.ID)
			want := received.held
			if received.accepted {
				want = received.received
			}
			g.Expect(held).To(Equal(want))
		})
	}
}
