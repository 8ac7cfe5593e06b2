package reader_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kestrelstream/kestrelstream/internal/distribution/reader"
	"github.com/kestrelstream/kestrelstream/internal/store"
)

var start = time.Unix(1_700_000_000, 0)

// operationsOf returns the operations requested by the outputs, in order.
func operationsOf(outputs reader.Outputs) []reader.Operation {
	var list []reader.Operation
	for _, request := range outputs.Requests {
		list = append(list, request.Operation)
	}
	return list
}

// newWatchingCore returns a core that holds a slot, is loaded at revision 10 and
// watches from there.
func newWatchingCore() *reader.Core {
	core := reader.New(reader.DefaultConfig(), rand.New(rand.NewPCG(1, 1)))
	Expect(operationsOf(core.SetCandidacy(start, reader.Leading))).To(Equal([]reader.Operation{reader.Acquire}))
	Expect(operationsOf(core.Acquired(start, true, nil))).To(Equal([]reader.Operation{reader.Load}))
	watch := core.Loaded(start, 10, nil)
	Expect(watch.Requests).To(Equal([]reader.Request{{Operation: reader.Watch, Revision: 10}}))
	core.Watching(start, nil)
	return core
}

// nextRequest advances the core to the next time at which an operation is due and
// returns the first request and that time.
func nextRequest(core *reader.Core) (reader.Request, time.Time) {
	at := core.NextTick()
	requests := core.Tick(at).Requests
	Expect(requests).NotTo(BeEmpty())
	return requests[0], at
}

var _ = Describe("a reader", func() {
	DescribeTable("after", func(fault func(*reader.Core) reader.Outputs, cancelled bool, next reader.Operation, holding bool) {
		core := newWatchingCore()
		outputs := fault(core)
		Expect(outputs.CancelWatch).To(Equal(cancelled))
		if len(outputs.Requests) > 0 {
			Expect(outputs.Requests[0].Operation).To(Equal(next))
		} else {
			request, at := nextRequest(core)
			Expect(request.Operation).To(Equal(next))
			Expect(at.Sub(start)).To(BeNumerically("<=", 2*time.Second))
		}
		Expect(core.Holding()).To(Equal(holding))
	},
		Entry("the watch ends", func(c *reader.Core) reader.Outputs { return c.WatchEnded(start, store.ErrUnavailable) }, false, reader.Watch, true),
		Entry("the start of the watch is compacted", func(c *reader.Core) reader.Outputs { return c.WatchEnded(start, store.ErrCompacted) }, false, reader.Load, true),
		Entry("the lease expired during a pause", func(c *reader.Core) reader.Outputs { return c.Renewed(start, store.ErrLeaseNotFound) }, true, reader.Acquire, false),
		Entry("the store is unavailable", func(c *reader.Core) reader.Outputs { return c.Renewed(start, store.ErrUnavailable) }, false, reader.Renew, true),
		Entry("the watch silently missed an entry", func(c *reader.Core) reader.Outputs { return c.Polled(start, true, 12, nil) }, true, reader.Watch, true),
		Entry("a planned stop", func(c *reader.Core) reader.Outputs { return c.Stop(start) }, true, reader.Release, false),
	)

	It("resumes the watch from the last revision seen", func() {
		core := newWatchingCore()
		core.WatchEvent(17)
		core.WatchEnded(start, store.ErrUnavailable)
		request, _ := nextRequest(core)
		Expect(request).To(Equal(reader.Request{Operation: reader.Watch, Revision: 17}))
	})

	It("sends one request per second in steady state and a bounded number during an outage", func() {
		for outcome, mostRequests := range map[error]int{nil: 60, store.ErrUnavailable: 240} {
			core := newWatchingCore()
			requests := 0
			for {
				request, at := nextRequest(core)
				if at.Sub(start) > time.Minute {
					break
				}
				requests++
				if request.Operation == reader.Renew {
					core.Renewed(at, outcome)
				} else {
					core.Polled(at, false, 10, outcome)
				}
			}
			Expect(requests).To(BeNumerically(">=", 30))
			Expect(requests).To(BeNumerically("<=", mostRequests))
			Expect(core.Holding()).To(BeTrue())
		}
	})

	It("without a slot retries rarely, often when urgent, and never once it is not a candidate", func() {
		core := reader.New(reader.DefaultConfig(), rand.New(rand.NewPCG(1, 1)))
		core.SetCandidacy(start, reader.Leading)
		core.Acquired(start, false, nil)
		Expect(core.NextTick().Sub(start)).To(BeNumerically(">=", 5*time.Second))
		core.SetCandidacy(start, reader.Urgent)
		Expect(core.NextTick()).To(BeZero(), "the attempt is in progress")
		core.Acquired(start, false, nil)
		Expect(core.NextTick().Sub(start)).To(BeNumerically("<=", 2*time.Second))
		core.SetCandidacy(start, reader.NotCandidate)
		Expect(core.NextTick()).To(BeZero())
	})
})
