package health_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kestrelstream/kestrelstream/internal/endpoint"
	"github.com/kestrelstream/kestrelstream/internal/proxy/health"
)

// event is an observation; the test applies one per second.
type event func(tracker *health.Tracker, now time.Time)

func poll(result health.PollResult) event {
	return func(tracker *health.Tracker, now time.Time) { tracker.RecordPoll(now, result) }
}

func answered(tracker *health.Tracker, now time.Time)      { tracker.RecordAnswer(now) }
func connectFailed(tracker *health.Tracker, now time.Time) { tracker.RecordConnectFailure(now) }
func beginDrain(tracker *health.Tracker, _ time.Time)      { tracker.BeginDrain() }
func endDrain(tracker *health.Tracker, _ time.Time)        { tracker.EndDrain() }

func warmUp() []event {
	events := make([]event, 12)
	for index := range events {
		events[index] = poll(health.PollReady)
	}
	return events
}

var _ = DescribeTable("Core",
	func(before []event, events []event, want endpoint.State) {
		tracker, now := health.New(), time.Unix(1000, 0)
		for _, apply := range append(before, events...) {
			now = now.Add(time.Second)
			apply(tracker, now)
		}
		Expect(tracker.State()).To(Equal(want))
	},
	Entry("nothing known", nil, nil, endpoint.Down),
	Entry("first successful poll", nil, []event{poll(health.PollReady)}, endpoint.Warming),
	Entry("ready after the warm-up period", warmUp(), nil, endpoint.Ready),
	Entry("reports that it is still starting", nil, []event{poll(health.PollWarming), poll(health.PollWarming)}, endpoint.Warming),
	Entry("one failed poll", warmUp(), []event{poll(health.PollDown)}, endpoint.Ready),
	Entry("two failed polls", warmUp(), []event{poll(health.PollDown), poll(health.PollDown)}, endpoint.Down),
	Entry("two different failed polls", warmUp(), []event{poll(health.PollDown), poll(health.PollUnreachable)}, endpoint.Ready),
	Entry("a successful poll in between", warmUp(), []event{poll(health.PollDown), poll(health.PollReady), poll(health.PollDown)}, endpoint.Ready),
	Entry("reports down while it answers requests", warmUp(), []event{poll(health.PollDown), answered, poll(health.PollDown)}, endpoint.Ready),
	Entry("reports down and no longer answers requests", warmUp(), []event{answered, poll(health.PollDown), poll(health.PollDown), poll(health.PollDown)}, endpoint.Down),
	Entry("unreachable after it answered a request", warmUp(), []event{answered, poll(health.PollUnreachable), connectFailed}, endpoint.Down),
	Entry("draining takes effect immediately", warmUp(), []event{answered, poll(health.PollDraining)}, endpoint.Draining),
	Entry("warms up again after down", warmUp(), []event{connectFailed, connectFailed, poll(health.PollReady)}, endpoint.Warming),
	Entry("operator's drain overrides polls", warmUp(), []event{beginDrain, poll(health.PollReady)}, endpoint.Draining),
	Entry("operator's drain ended", warmUp(), []event{beginDrain, endDrain}, endpoint.Ready),
)
