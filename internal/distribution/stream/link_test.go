package stream_test

import (
	"testing"
	"testing/synctest"

	. "github.com/onsi/gomega"

	"github.com/kestrelstream/kestrelstream/internal/distribution"
	"github.com/kestrelstream/kestrelstream/internal/distribution/stream"
	"github.com/kestrelstream/kestrelstream/internal/endpoint"
)

// TestReportsToABusyParentAreCombined checks that reports which a child makes much
// faster than its parent answers are combined and don't end the stream. Many
// children that reconnect at once make a relay report that fast.
func TestReportsToABusyParentAreCombined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		p := startTestServer(t)
		p.host.gate = make(chan struct{})
		lost := make(chan error, 1)
		link := p.client.Link(t.Context(), "parent:1", hello("child"), stream.LinkEvents{
			Connected: func() {}, Received: func(*distribution.Message) {},
			Refused: func(refused *stream.RefusedError) { lost <- refused }, Lost: func(err error) { lost <- err },
		})
		defer link.Close()
		<-p.host.attached
		synctest.Wait()

		update := func(name string, sequence uint64) endpoint.Update {
			return endpoint.Update{ID: endpoint.ID{Service: "tariffs", Name: name}, Incarnation: 1, Sequence: sequence, State: endpoint.Ready}
		}
		send := func(version uint64, updates []endpoint.Update, zones ...distribution.ZoneStatus) {
			link.Report(distribution.Report{Node: hello("child").Node, Applied: version, Endpoints: updates, Zones: zones})
		}
		send(1, []endpoint.Update{update("a", 2)})
		synctest.Wait()
		for version := uint64(2); version <= 100; version++ {
			send(version, []endpoint.Update{update("b", 2*version)}, distribution.ZoneStatus{Zone: "north", Relay: "child", Stamp: version})
		}
		send(101, []endpoint.Update{update("c", 2), update("b", 4)}, distribution.ZoneStatus{Zone: "south", Relay: "child", Stamp: 7})
		for range 2 {
			<-p.host.gate
			synctest.Wait()
		}

		g.Expect(lost).NotTo(Receive())
		p.host.mutex.Lock()
		defer p.host.mutex.Unlock()
		g.Expect(p.host.reports).To(HaveLen(2))
		combined := p.host.reports[1]
		g.Expect(combined.Applied).To(BeEquivalentTo(101))
		g.Expect(combined.Endpoints).To(Equal([]endpoint.Update{update("b", 200), update("c", 2)}))
		g.Expect(combined.Zones).To(Equal([]distribution.ZoneStatus{
			{Zone: "north", Relay: "child", Stamp: 100}, {Zone: "south", Relay: "child", Stamp: 7},
		}))
	})
}
