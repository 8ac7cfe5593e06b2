package health_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kestrelstream/kestrelstream/internal/endpoint"
	"github.com/kestrelstream/kestrelstream/internal/proxy/health"
)

// event happens one second after the one before.
type event func(core *health.Tracker, now time.Time)

func polled(says health.PollResult) event {
	return func(core *health.Tracker, now time.Time) { core.RecordPoll(now, says) }
}

func answered(core *health.Tracker, now time.Time) { core.RecordAnswer(now) }
func refused(core *health.Tracker, now time.Time)  { core.RecordConnectFailure(now) }
func leave(core *health.Tracker, _ time.Time)      { core.BeginDrain() }
func back(core *health.Tracker, _ time.Time)       { core.EndDrain() }

func warm() []event {
	events := make([]event, 12)
	for index := range events {
		events[index] = polled(health.PollReady)
	}
	return events
}

var _ = DescribeTable("Core",
	func(before []event, events []event, want endpoint.State) {
		core, now := health.New(), time.Unix(1000, 0)
		for _, apply := range append(before, events...) {
			now = now.Add(time.Second)
			apply(core, now)
		}
		Expect(core.State()).To(Equal(want))
	},
	Entry("nothing known", nil, nil, endpoint.Down),
	Entry("first good poll", nil, []event{polled(health.PollReady)}, endpoint.Warming),
	Entry("good for long enough", warm(), nil, endpoint.Ready),
	Entry("says it is still starting", nil, []event{polled(health.PollWarming), polled(health.PollWarming)}, endpoint.Warming),
	Entry("one bad poll", warm(), []event{polled(health.PollDown)}, endpoint.Ready),
	Entry("two bad polls", warm(), []event{polled(health.PollDown), polled(health.PollDown)}, endpoint.Down),
	Entry("two different bad polls", warm(), []event{polled(health.PollDown), polled(health.PollUnreachable)}, endpoint.Ready),
	Entry("a good one between", warm(), []event{polled(health.PollDown), polled(health.PollReady), polled(health.PollDown)}, endpoint.Ready),
	Entry("says down while it answers", warm(), []event{polled(health.PollDown), answered, polled(health.PollDown)}, endpoint.Ready),
	Entry("says down and answers no more", warm(), []event{answered, polled(health.PollDown), polled(health.PollDown), polled(health.PollDown)}, endpoint.Down),
	Entry("unreachable although it answered", warm(), []event{answered, polled(health.PollUnreachable), refused}, endpoint.Down),
	Entry("draining is believed at once", warm(), []event{answered, polled(health.PollDraining)}, endpoint.Draining),
	Entry("back from down starts slowly", warm(), []event{refused, refused, polled(health.PollReady)}, endpoint.Warming),
	Entry("operator's drain overrides", warm(), []event{leave, polled(health.PollReady)}, endpoint.Draining),
	Entry("operator's drain ended", warm(), []event{leave, back}, endpoint.Ready),
)
