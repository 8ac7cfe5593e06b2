package relay_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kestrelstream/kestrelstream/internal/distribution"
	"github.com/kestrelstream/kestrelstream/internal/distribution/relay"
)

var _ = Describe("the earliest certificate expiry", func() {
	It("is listed in the zone's summary until its node detaches", func() {
		core := loaded(nil)
		for index, name := range []string{"p1", "p2", "p3"} {
			hello := proxyHello(name, 0, "", "shop")
			hello.CertificateExpires = start.Add([]time.Duration{3 * time.Hour, time.Hour, 2 * time.Hour}[index])
			core.Attach(start, relay.SessionID(index+1), hello)
		}
		first := func(after time.Duration) *distribution.Expiry {
			core.Tick(start.Add(after))
			return core.Zones()[0].FirstExpiry
		}
		Expect(first(time.Second)).To(Equal(&distribution.Expiry{Node: "p2", Time: start.Add(time.Hour)}))
		core.Detach(start.Add(time.Second), 2)
		Expect(first(2 * time.Second)).To(Equal(&distribution.Expiry{Node: "p3", Time: start.Add(2 * time.Hour)}))
	})

	It("is not listed without mutual TLS", func() {
		core := loaded(nil)
		core.Attach(start, 1, proxyHello("p1", 0, "", "shop"))
		core.Tick(start.Add(time.Second))
		Expect(core.Zones()).To(ConsistOf(HaveField("FirstExpiry", BeNil())))
	})
})
