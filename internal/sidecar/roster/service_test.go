package roster_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/roster"
)

// TestPreviousRunOfOtherService guards against a node that takes the back end of a previous run for
// its own although its settings name another service since.
func TestPreviousRunOfOtherService(t *testing.T) {
	previous := record("self", 5, 1)
	previous.Endpoint = endpoint("a", roster.Ready, 40)
	previous.Ended = []string{"earlier"}
	cases := []struct {
		name, service string
		kept          bool
	}{
		{"the same service", previous.Endpoint.Service, true},
		{"another service", "another", false},
		{"settings without a service", "", true},
	}
	ways := map[string]func(*roster.Roster){
		"from the store": func(members *roster.Roster) { members.Resume([]*roster.Record{&previous}) },
		"from a peer":    func(members *roster.Roster) { members.Merge([]*roster.Record{&previous}) },
	}
	for way, apply := range ways {
		for _, tc := range cases {
			t.Run(way+", "+tc.name, func(t *testing.T) {
				g := NewWithT(t)
				members := roster.New(record("self", 1, 1))
				members.SetService(tc.service)
				apply(members)
				g.Expect(members.Own().Endpoint != nil).To(Equal(tc.kept))
				g.Expect(members.Own().HasEnded(roster.Incarnation{ID: "earlier"})).To(BeTrue())
				g.Expect(members.Own().Newer(&previous) || tc.kept).To(BeTrue(), "other nodes must learn of it")
			})
		}
	}
}

// TestServiceChangeRemovesEndpoint checks that a back end of another service leaves the node's own
// record, which is newer then.
func TestServiceChangeRemovesEndpoint(t *testing.T) {
	g := NewWithT(t)
	own := record("self", 1, 1)
	own.Endpoint = endpoint("a", roster.Ready, 1)
	members := roster.New(own)
	g.Expect(members.SetService(own.Endpoint.Service)).To(BeFalse())
	g.Expect(members.SetService("")).To(BeFalse())
	g.Expect(members.SetService("another")).To(BeTrue())
	g.Expect(members.Own().Endpoint).To(BeNil())
	g.Expect(members.Own().Newer(&own)).To(BeTrue())
	g.Expect(members.SetService("another")).To(BeFalse())
}
