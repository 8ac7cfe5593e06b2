package endpoint_test

import (
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kestrelstream/kestrelstream/internal/endpoint"
)

var (
	began = time.UnixMilli(1_000_000)
	own   = endpoint.Update{
		ID: endpoint.ID{Service: "tariff", Name: "a"}, Incarnation: uint64(began.UnixMilli()), State: endpoint.Ready,
		Zone: "north", Address: "10.0.0.1:80",
	}
)

// TestAuthorityObserves: what an authority makes of updates from elsewhere.
func TestAuthorityObserves(t *testing.T) {
	later := func(after time.Duration) uint64 { return uint64(began.Add(after).UnixMilli()) }
	declared := own
	declared.Sequence = 2
	cases := []struct {
		name     string
		update   endpoint.Update
		answered bool
		state    endpoint.State
	}{
		{name: "its own update", update: declared},
		{name: "an earlier incarnation", update: endpoint.Update{ID: own.ID, Incarnation: own.Incarnation - 1, Sequence: 9}},
		{name: "another endpoint", update: endpoint.Update{ID: endpoint.ID{Service: "tariff", Name: "b"}, Incarnation: later(time.Hour), Sequence: 9}},
		{name: "declared down", update: declared.RelayOverride(endpoint.Down), answered: true, state: endpoint.Ready},
		{name: "declared draining", update: declared.RelayOverride(endpoint.Draining), answered: true, state: endpoint.Draining},
		{name: "a successor's, this process was paused", update: endpoint.Update{ID: own.ID, Incarnation: later(time.Second), Sequence: 2, State: endpoint.Ready}},
		{name: "a predecessor's, the clock was set back", update: endpoint.Update{ID: own.ID, Incarnation: later(time.Hour), Sequence: 8, State: endpoint.Down}, answered: true, state: endpoint.Ready},
		{name: "no incarnation is later", update: endpoint.Update{ID: own.ID, Incarnation: math.MaxUint64, Sequence: 8}},
	}
	for _, observed := range cases {
		t.Run(observed.name, func(t *testing.T) {
			g := NewWithT(t)
			authority := endpoint.NewAuthority(own)
			before := authority.Current()
			answer, answered := authority.Observe(began.Add(time.Minute), observed.update)
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

// TestLeavingMachineStaysDraining: a back end that comes up, or recovers, on a
// machine that the platform lists as leaving receives no new work.
func TestLeavingMachineStaysDraining(t *testing.T) {
	g := NewWithT(t)
	warming := own
	warming.State = endpoint.Warming
	authority := endpoint.NewAuthority(warming)
	_, answered := authority.Observe(began, authority.Current().RelayOverride(endpoint.Draining))
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

// TestProxyBelievesTheRelayItIsAttachedTo: what one relay declared down another
// one may still hold.
func TestProxyBelievesTheRelayItIsAttachedTo(t *testing.T) {
	ready := own
	ready.Sequence = 4
	older, draining := ready, ready
	older.Sequence = 2
	draining.State = endpoint.Draining
	cases := []struct {
		name    string
		held    endpoint.Update
		heard   endpoint.Update
		believe bool
	}{
		{"what was declared down", ready.RelayOverride(endpoint.Down), ready, true},
		{"an older update than what was declared down", ready.RelayOverride(endpoint.Down), older, false},
		{"what was declared draining", ready.RelayOverride(endpoint.Draining), ready, false},
		{"what the authority itself ended", draining, older, false},
	}
	for _, heard := range cases {
		t.Run(heard.name, func(t *testing.T) {
			g := NewWithT(t)
			atProxy, elsewhere := endpoint.NewTable(), endpoint.NewTable()
			atProxy.Merge(heard.held)
			elsewhere.Merge(heard.held)
			g.Expect(atProxy.MergeAtProxy(heard.heard)).To(Equal(heard.believe))
			g.Expect(elsewhere.Merge(heard.heard)).To(BeFalse())
			held, _ := atProxy.Get(own.ID)
			want := heard.held
			if heard.believe {
				want = heard.heard
			}
			g.Expect(held).To(Equal(want))
		})
	}
}
