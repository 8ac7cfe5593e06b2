package egress

import (
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/clock"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/hop"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/route"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/shares"
)

// TestOverShareMarks: under overload control a tenant's requests above its share are marked, and
// the others say how many they stand for. Requests of another tenant are not marked, and none are
// without overload control.
func TestOverShareMarks(t *testing.T) {
	cases := []struct {
		name, key   string
		contended   bool
		least, most int // marked of 100
	}{
		{"above", "k", true, 50, 95},
		{"another tenant", "of-another", true, 0, 0},
		{"without overload control", "k", false, 0, 0},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			node := newRecordingNode(t)
			handler := tenantHandler(t, &fakeFreshness{table: tenantTable(t, 1, route.Tenant{Name: "acme", Keys: []route.Key{"k"}}), canAdvance: true}, node)
			handler.options.MarkOverShare = true
			handler.randomFloat = rand.New(rand.NewPCG(1, 0)).Float64
			handler.options.Contended = func() bool { return test.contended }
			of := shares.Flow{Service: "s", Tenant: "acme", Priority: 5}
			marked, withShare := 0, 0
			for range 100 {
				// The simulated node reports no shares itself.
				handler.tenantShares.Observe(of, shares.Allocation{Share: time.Second, Demand: 10 * time.Second}, clock.Now())
				answer := request(t, handler, "/closed/", http.Header{"Deadline-Ms": {"3000"}, keyHeader: {test.key}})
				g.Expect(answer.Code).To(Equal(http.StatusOK))
			}
			for i, arrived := range node.hops {
				if arrived.OverShare {
					marked++
				}
				if node.headers[i].Get(hop.HeaderShare) != "" {
					withShare++
				}
			}
			g.Expect(marked).To(And(BeNumerically(">=", test.least), BeNumerically("<=", test.most)))
			if test.least > 0 {
				g.Expect(withShare).To(Equal(100 - marked))
			} else {
				g.Expect(withShare).To(BeZero())
			}
		})
	}
}
