package route_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/route"
)

func randomDocument(random *rand.Rand, version uint64) *route.Document {
	document := &route.Document{Version: version, Limits: route.Limits{BodyBytes: random.Int64N(3)}}
	for i := range 3 {
		if i == 0 || random.IntN(3) > 0 {
			document.Services = append(document.Services, route.Service{Name: fmt.Sprint("s", i), MaximumConnections: random.IntN(3)})
		}
	}
	for _, i := range random.Perm(12)[:random.IntN(12)] {
		document.Routes = append(document.Routes, route.Route{
			Name: fmt.Sprint("r", i), Host: "a.example", PathPrefix: fmt.Sprintf("/%d/", i), Attempts: 1,
			Targets: []route.Target{{Service: "s0", Weight: 1 + random.IntN(2)}}, Timeout: time.Duration(random.IntN(2)),
		})
	}
	return document
}

// TestChangeRoundTrip applies the changes between random documents after encoding them as JSON.
func TestChangeRoundTrip(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for i := range 500 {
		g := NewWithT(t)
		base, wanted := randomDocument(random, 1), randomDocument(random, 2)
		if i%10 == 0 {
			base = nil
		}
		encoded, err := json.Marshal(wanted.ChangeFrom(base))
		g.Expect(err).NotTo(HaveOccurred())
		change := &route.Change{}
		g.Expect(json.Unmarshal(encoded, change)).To(Succeed())
		result, err := change.Apply(base)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(result.Version).To(BeEquivalentTo(2))
		g.Expect(result.Limits).To(Equal(wanted.Limits))
		g.Expect(result.Routes).To(ConsistOf(wanted.Routes))
		g.Expect(result.Services).To(ConsistOf(wanted.Services))
	}
}

// TestChangeHoldsOnlyDifferences checks that unchanged routes are not part of a change.
func TestChangeHoldsOnlyDifferences(t *testing.T) {
	g := NewWithT(t)
	base := &route.Document{Version: 4}
	for i := range 1000 {
		base.Routes = append(base.Routes, route.Route{Name: fmt.Sprint(i), Host: "h", PathPrefix: fmt.Sprintf("/%d/", i)})
	}
	next := &route.Document{Version: 5, Routes: append([]route.Route{{Name: "new", Host: "h", PathPrefix: "/new/"}}, base.Routes[:999]...)}
	change := next.ChangeFrom(base)
	g.Expect(change.Routes).To(HaveLen(1))
	g.Expect(change.RemovedRoutes).To(Equal([]string{"h/999/"}))
}

// TestChangeOfAnotherBase checks that a change is rejected for any base but its own.
func TestChangeOfAnotherBase(t *testing.T) {
	g := NewWithT(t)
	base := &route.Document{Version: 4, Routes: []route.Route{{Name: "r", Host: "h", PathPrefix: "/"}}}
	next := &route.Document{Version: 5, Routes: append([]route.Route{{Name: "q", Host: "h", PathPrefix: "/q/"}}, base.Routes...)}
	change := next.ChangeFrom(base)
	for _, other := range []*route.Document{nil, {Version: 3}, {Version: 4}} {
		_, err := change.Apply(other)
		g.Expect(err).To(MatchError(route.ErrBaseMismatch))
	}
}
