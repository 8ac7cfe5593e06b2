package relay_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kestrelstream/kestrelstream/internal/distribution"
	"github.com/kestrelstream/kestrelstream/internal/distribution/relay"
	"github.com/kestrelstream/kestrelstream/internal/resource"
)

// unreachableVersion is a version that no relay reaches.
const unreachableVersion = 1 << 62

var _ = Describe("a version above the relay's own", func() {
	var core *relay.Core
	claimTimeout := relay.DefaultConfig().ClaimTimeout
	var lastSession relay.SessionID

	BeforeEach(func() { core = loaded(nil) })

	attach := func(at time.Time, name string, version uint64) relay.Outputs {
		lastSession++
		return core.Attach(at, lastSession, proxyHello(name, version, "", "shop"))
	}
	served := func(at time.Time) bool { return len(attach(at, "newcomer", 0).Refusals) == 0 }

	It("keeps new children out only temporarily if a single node claims it", func() {
		for _, after := range []time.Duration{0, claimTimeout / 2, claimTimeout - 1} {
			refused := attach(start.Add(after), "liar", unreachableVersion)
			Expect(refused.Refusals).To(ConsistOf(HaveField("Reason", relay.ReasonBehind)))
			Expect(served(start.Add(after))).To(BeFalse())
		}
		Expect(core.Source().Floor).To(BeEquivalentTo(unreachableVersion))
		Expect(core.NextTick()).To(BeTemporally("<=", start.Add(claimTimeout)))
		core.Tick(start.Add(claimTimeout))
		Expect(core.Source().Floor).To(BeZero())
		Expect(served(start.Add(claimTimeout))).To(BeTrue())
		attach(start.Add(claimTimeout), "liar", unreachableVersion-1)
		Expect(served(start.Add(claimTimeout))).To(BeTrue(), "another claim by the same node")
	})

	It("remains accepted up to the version that two nodes claim", func() {
		attach(start, "p1", 7)
		attach(start, "p2", 9)
		core.Tick(start.Add(claimTimeout))
		Expect(core.Floor("z1")).To(BeEquivalentTo(7))
		Expect(served(start.Add(claimTimeout))).To(BeFalse())
		core.Advance(start.Add(claimTimeout), []resource.Entry{entry(3), entry(4), entry(5), entry(6), entry(7)})
		Expect(served(start.Add(claimTimeout))).To(BeTrue())
	})

	It("is accepted from a single node until a timeout after the relay finds a path to a reader", func() {
		core.SetSource(start, distribution.Source{Detached: true})
		attach(start, "p1", 7)
		core.Tick(start.Add(10 * claimTimeout))
		Expect(served(start.Add(10 * claimTimeout))).To(BeFalse())
		core.SetSource(start.Add(10*claimTimeout), distribution.Source{})
		Expect(served(start.Add(10 * claimTimeout))).To(BeFalse())
		core.Tick(start.Add(11 * claimTimeout))
		Expect(served(start.Add(11 * claimTimeout))).To(BeTrue())
	})

	It("is not reported as in force until the relay has reached it", func() {
		attach(start, "p1", 2)
		report := distribution.Report{Node: distribution.Node{Name: "p1", Incarnation: 1, Zone: "z1"}, Applied: 3}
		core.Report(start, lastSession, report)
		core.Tick(core.NextTick())
		Expect(core.Zones()).To(ConsistOf(HaveField("Highest", BeEquivalentTo(2))))
		core.Advance(start, []resource.Entry{entry(3)})
		core.Tick(start.Add(time.Second))
		Expect(core.Zones()).To(ConsistOf(And(HaveField("Highest", BeEquivalentTo(3)), HaveField("Lowest", BeEquivalentTo(3)))))
	})

	It("in a report does not keep new children out permanently", func() {
		attach(start, "liar", 2)
		report := distribution.Report{Node: distribution.Node{Name: "liar", Incarnation: 1, Zone: "z1"}, Applied: unreachableVersion}
		core.Report(start, lastSession, report)
		core.Tick(start.Add(claimTimeout))
		Expect(served(start.Add(claimTimeout))).To(BeTrue())
		Expect(core.Floor("z1")).To(BeNumerically("<=", core.State().Version()))
	})
})
