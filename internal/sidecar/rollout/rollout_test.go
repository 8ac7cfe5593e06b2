package rollout_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/rollout"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/roster"
	"github.com/kestrelstream/kestrelstream/internal/store"
)

var start = time.Unix(1000, 0)

func newOrder(revision uint64) rollout.Order {
	return rollout.Order{Service: "s", Version: "v2", Revision: revision, Duration: 14 * time.Second}
}

func stateInPhase(phase rollout.Phase) rollout.State {
	state := rollout.NewState(newOrder(5), start)
	state.Phase = phase
	return state
}

// TestMerge: the later order holds, of one order the later phase, and a move that is
// over stays as it is.
func TestMerge(t *testing.T) {
	later := rollout.NewState(newOrder(6), start)
	cases := []struct {
		name          string
		local, remote rollout.State
		want          rollout.Phase
		revision      uint64
		changed       bool
	}{
		{"nothing was known", rollout.State{}, stateInPhase(rollout.Trial), rollout.Trial, 5, true},
		{"the same", stateInPhase(rollout.Trial), stateInPhase(rollout.Trial), rollout.Trial, 5, false},
		{"a later phase", stateInPhase(rollout.Trial), stateInPhase(rollout.Promoting), rollout.Promoting, 5, true},
		{"an earlier phase", stateInPhase(rollout.Promoting), stateInPhase(rollout.Trial), rollout.Promoting, 5, false},
		{"condemned while it is promoted", stateInPhase(rollout.Promoting), stateInPhase(rollout.Condemned), rollout.Condemned, 5, true},
		{"done, whoever condemned it", stateInPhase(rollout.Condemned), stateInPhase(rollout.Completed), rollout.Completed, 5, true},
		{"nothing follows on done", stateInPhase(rollout.Completed), stateInPhase(rollout.RolledBack), rollout.Completed, 5, false},
		{"nothing follows on taken back", stateInPhase(rollout.RolledBack), stateInPhase(rollout.Completed), rollout.RolledBack, 5, false},
		{"a later order", stateInPhase(rollout.Completed), later, rollout.Trial, 6, true},
		{"an earlier order", later, stateInPhase(rollout.Completed), rollout.Trial, 6, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			merged, changed := tc.local.Merge(tc.remote)
			g.Expect(merged.Phase).To(Equal(tc.want))
			g.Expect(merged.Revision).To(Equal(tc.revision))
			g.Expect(changed).To(Equal(tc.changed))
		})
	}
}

// TestTheEarlierDeadlineHolds: who heard late counts from then, who heard early is right.
func TestMergeKeepsEarlierDeadline(t *testing.T) {
	g := NewWithT(t)
	receivedLate := rollout.NewState(newOrder(5), start.Add(time.Second))
	merged, changed := receivedLate.Merge(rollout.NewState(newOrder(5), start))
	g.Expect(changed).To(BeFalse())
	g.Expect(merged.Deadline).To(Equal(start.Add(14 * time.Second)))
}

// TestWhatTheStoreHas: that a phase was written is known from any node that knows, and
// holds for that phase only.
func TestMergeRecorded(t *testing.T) {
	g := NewWithT(t)
	recorded := stateInPhase(rollout.Trial)
	recorded.Recorded = true
	merged, changed := stateInPhase(rollout.Trial).Merge(recorded)
	g.Expect(changed).To(BeFalse())
	g.Expect(merged.Recorded).To(BeTrue())
	merged, _ = merged.Merge(stateInPhase(rollout.Condemned))
	g.Expect(merged.Recorded).To(BeFalse())
	merged, _ = merged.Merge(recorded)
	g.Expect(merged.Recorded).To(BeFalse())
}

// TestTold: a move is the same after it was told, by a clock that is elsewhere.
func TestWireStateRoundTrip(t *testing.T) {
	g := NewWithT(t)
	state := stateInPhase(rollout.Condemned)
	state.Cause, state.Recorded = rollout.CauseFaulty, true
	remoteNow := time.Unix(90000, 0)
	decoded, valid := state.Tell(start.Add(4 * time.Second)).Hear(remoteNow)
	g.Expect(valid).To(BeTrue())
	g.Expect(decoded.Deadline).To(Equal(remoteNow.Add(10 * time.Second)))
	decoded.Deadline = state.Deadline
	g.Expect(decoded).To(Equal(state))
}

func TestInvalidWireState(t *testing.T) {
	invalid := map[string]func(*rollout.WireState){
		"no service":               func(wire *rollout.WireState) { wire.Service = "" },
		"no version":               func(wire *rollout.WireState) { wire.Version = "" },
		"no order":                 func(wire *rollout.WireState) { wire.Revision = 0 },
		"a phase after the last":   func(wire *rollout.WireState) { wire.Phase = rollout.RolledBack + 1 },
		"a phase before the first": func(wire *rollout.WireState) { wire.Phase = -1 },
		"no time":                  func(wire *rollout.WireState) { wire.DurationMS = 0 },
		"more left than there was": func(wire *rollout.WireState) { wire.LeftMS = wire.DurationMS + 1 },
		"a time that overflows":    func(wire *rollout.WireState) { wire.DurationMS, wire.LeftMS = 1<<62, 1<<61 },
		"over for ever":            func(wire *rollout.WireState) { wire.LeftMS = -1 << 62 },
	}
	for name, change := range invalid {
		t.Run(name, func(t *testing.T) {
			wire := stateInPhase(rollout.Trial).Tell(start)
			change(&wire)
			_, valid := wire.Hear(start)
			NewWithT(t).Expect(valid).To(BeFalse())
		})
	}
}

var candidates = []string{"a", "b", "c", "d", "e"}

// exposure adds up what part of all requests a version gets between order and deadline,
// in units of the whole, when it turns bad after the last moment at which that could be
// noticed.
func exposure(limits rollout.Limits, duration time.Duration, others int, rate rollout.RequestRate) float64 {
	order := newOrder(5)
	order.Duration = duration
	state := rollout.NewState(order, start)
	const step = time.Millisecond
	total := 0.0
	for now := start; now.Before(state.Deadline); now = now.Add(step) {
		if !now.Before(state.PromoteAt(limits)) {
			total += step.Seconds()
			continue
		}
		total += state.TrialAssignment(candidates, others, limits, rate, now).Share * step.Seconds()
	}
	return total / duration.Seconds()
}

// TestExposure: a version that shows nothing until the end gets less than is allowed,
// however long the move takes and however many back ends there are, and more than half of
// it, so that there is time for what others work on to end.
func TestExposure(t *testing.T) {
	for _, duration := range []time.Duration{5 * time.Second, 14 * time.Second, 16 * time.Second, 10 * time.Minute} {
		for _, others := range []int{1, 4, 22, 34, 76, 500} {
			g := NewWithT(t)
			limits := rollout.Limits{Share: 0.1}
			got := exposure(limits, duration, others, rollout.RequestRate{PerSecond: 10, Members: 80})
			g.Expect(got).To(BeNumerically("<=", limits.Share), "%s, %d others", duration, others)
			if duration < time.Minute {
				g.Expect(got).To(BeNumerically(">=", limits.Share/2), "%s, %d others", duration, others)
			}
		}
	}
}

// TestTimeToEnd: between the promotion and the end of the back ends before there is time for
// what they work on, and from there to the deadline for the operator to see the end.
func TestCompletionTiming(t *testing.T) {
	g := NewWithT(t)
	limits := rollout.DefaultLimits()
	for duration, minTransition := range map[time.Duration]time.Duration{
		8 * time.Second: 280 * time.Millisecond, 14 * time.Second: 340 * time.Millisecond, time.Minute: 700 * time.Millisecond,
	} {
		order := newOrder(5)
		order.Duration = duration
		state := rollout.NewState(order, start)
		g.Expect(state.CompleteAt(limits).Sub(state.PromoteAt(limits))).To(BeNumerically(">=", minTransition))
		g.Expect(state.Deadline.Sub(state.CompleteAt(limits))).To(BeNumerically(">=", 280*time.Millisecond))
	}
}

// TestTheSlackBringsEvidence: where requests are few, the slack is used as well, but not
// all of it.
func TestSlackAtLowRequestRate(t *testing.T) {
	g := NewWithT(t)
	const nodes, requestsPerSecond, seconds = 48, 80.0, 14.0
	limits := rollout.DefaultLimits()
	got := exposure(limits, seconds*time.Second, 8, rollout.RequestRate{PerSecond: requestsPerSecond / nodes, Members: nodes})
	allowed := limits.Share + limits.Slack/(requestsPerSecond*seconds)
	g.Expect(got).To(BeNumerically("<=", allowed))
	g.Expect(got).To(BeNumerically(">=", limits.Share+0.02), "some 25 requests more than by the share")
}

// TestStint: few back ends at a time are on trial, with the load that the others have,
// and in turn.
func TestTrialAssignment(t *testing.T) {
	g := NewWithT(t)
	limits := rollout.Limits{Share: 0.1}
	state := rollout.NewState(newOrder(5), start)
	seen := map[string]bool{}
	for turn := range 6 {
		assignment := state.TrialAssignment(candidates, 34, limits, rollout.RequestRate{}, start.Add(time.Duration(turn)*time.Second))
		g.Expect(assignment.BackEnds).To(HaveLen(1))
		g.Expect(assignment.Share).To(BeNumerically("~", 1.0/34, 1e-9))
		seen[assignment.BackEnds[0]] = true
	}
	g.Expect(seen).To(HaveLen(3), "evidence gathers on few")
	g.Expect(state.TrialAssignment(candidates, 100, limits, rollout.RequestRate{}, start).BackEnds).To(HaveLen(2))
	finalPart := state.PromoteAt(limits).Add(-2 * time.Second)
	g.Expect(state.TrialAssignment(candidates, 100, limits, rollout.RequestRate{}, finalPart).BackEnds).To(HaveLen(3), "most go there at the end")
	g.Expect(state.TrialAssignment(candidates, 34, limits, rollout.RequestRate{}, finalPart).BackEnds).To(HaveLen(2))
	g.Expect(state.TrialAssignment(candidates, 34, limits, rollout.RequestRate{}, finalPart).Share).To(BeNumerically("~", 2.0/34, 1e-9))
	g.Expect(state.TrialAssignment(nil, 34, limits, rollout.RequestRate{}, start)).To(Equal(rollout.TrialAssignment{}))
	g.Expect(state.TrialAssignment(candidates, 0, limits, rollout.RequestRate{}, start)).To(Equal(rollout.TrialAssignment{}))
	g.Expect(state.TrialAssignment(candidates, 34, limits, rollout.RequestRate{}, state.PromoteAt(limits))).To(Equal(rollout.TrialAssignment{}))
	g.Expect(stateInPhase(rollout.Condemned).TrialAssignment(candidates, 34, limits, rollout.RequestRate{}, start)).To(Equal(rollout.TrialAssignment{}))
}

// good and bad are tallies of a version that is to be promoted and of one that is not.
var (
	good    = rollout.Tally{Present: 8, Others: 8, Answered: 3, For: 3, LogOdds: -9}
	bad     = rollout.Tally{Present: 8, Others: 8, Answered: 2, Faulty: 2, LogOdds: 8}
	unknown = rollout.Tally{Present: 8, Others: 8}
)

// TestDue: what is to be written when.
func TestDuePhase(t *testing.T) {
	limits := rollout.Limits{Share: 0.1}
	state := rollout.NewState(newOrder(5), start)
	promote, complete := state.PromoteAt(limits), state.CompleteAt(limits)
	cases := []struct {
		name     string
		phase    rollout.Phase
		tally    rollout.Tally
		recorded bool
		at       time.Time
		want     rollout.Phase
		due      bool
	}{
		{"an order that was just heard", rollout.Trial, unknown, false, start, rollout.Trial, true},
		{"on trial", rollout.Trial, good, true, start.Add(9 * time.Second), rollout.Trial, false},
		{"time to promote", rollout.Trial, good, true, promote, rollout.Promoting, true},
		{"nothing was seen", rollout.Trial, unknown, true, promote, rollout.Trial, false},
		{"nothing was seen for too long", rollout.Trial, unknown, true, complete, rollout.RolledBack, true},
		{"too late to begin", rollout.Trial, good, true, complete, rollout.RolledBack, true},
		{"others still work", rollout.Promoting, good, true, complete.Add(-time.Millisecond), rollout.Completed, false},
		{"done", rollout.Promoting, good, true, complete, rollout.Completed, true},
		{"the deadline has passed", rollout.Promoting, good, true, state.Deadline, rollout.RolledBack, true},
		{"judged bad", rollout.Condemned, bad, false, start, rollout.RolledBack, true},
		{"done, and the store does not know", rollout.Completed, bad, false, start, rollout.Completed, true},
		{"no other version is left", rollout.Trial, rollout.Tally{Present: 8}, true, complete, rollout.Completed, true},
		{"no other version is left, and it is bad", rollout.Condemned, rollout.Tally{Present: 8}, false, complete, rollout.RolledBack, true},
		{"nothing follows on done", rollout.Completed, bad, true, state.Deadline, rollout.Completed, false},
		{"nothing follows on taken back", rollout.RolledBack, good, true, state.Deadline, rollout.RolledBack, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			current := stateInPhase(tc.phase)
			current.Recorded = tc.recorded
			phase, due := current.DuePhase(tc.tally, limits, tc.at)
			g.Expect(due).To(Equal(tc.due))
			if due {
				g.Expect(phase).To(Equal(tc.want))
			}
		})
	}
}

// TestJudged: a version is condemned by several back ends, without the store, and when no
// end of the move was heard of.
func TestEvaluate(t *testing.T) {
	cases := []struct {
		name  string
		phase rollout.Phase
		tally rollout.Tally
		at    time.Duration
		want  rollout.Phase
	}{
		{"nothing was seen", rollout.Trial, unknown, time.Second, rollout.Trial},
		{"two are faulty", rollout.Trial, bad, time.Second, rollout.Condemned},
		{"while it is promoted", rollout.Promoting, bad, 13500 * time.Millisecond, rollout.Condemned},
		{"one of several is faulty", rollout.Trial, rollout.Tally{Present: 8, Others: 8, Answered: 2, Faulty: 1, For: 1}, time.Second, rollout.Trial},
		{"the only one is faulty", rollout.Trial, rollout.Tally{Present: 1, Others: 8, Answered: 1, Faulty: 1, LogOdds: 4}, time.Second, rollout.Condemned},
		{"two are faulty, and more are not", rollout.Trial, rollout.Tally{Present: 8, Others: 8, Answered: 5, Faulty: 2, For: 3, LogOdds: -4}, time.Second, rollout.Trial},
		{"two lean against it", rollout.Trial, rollout.Tally{Present: 8, Others: 8, Answered: 2, Against: 2, LogOdds: 4}, time.Second, rollout.Condemned},
		{"the deadline has just passed", rollout.Promoting, good, 14500 * time.Millisecond, rollout.Promoting},
		{"no end was heard of", rollout.Promoting, good, 16 * time.Second, rollout.Condemned},
		{"done stays done", rollout.Completed, bad, 16 * time.Second, rollout.Completed},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			evaluated, changed := stateInPhase(tc.phase).Evaluate(tc.tally, start.Add(tc.at))
			g.Expect(evaluated.Phase).To(Equal(tc.want))
			g.Expect(changed).To(Equal(tc.want != tc.phase))
			g.Expect(evaluated.Cause != "").To(Equal(changed))
		})
	}
}

func TestPromotes(t *testing.T) {
	cases := map[string]struct {
		change func(*rollout.Tally)
		want   bool
	}{
		"good":                          {func(*rollout.Tally) {}, true},
		"one of several is faulty":      {func(tally *rollout.Tally) { tally.Faulty, tally.For = 1, 2 }, true},
		"bad":                           {func(tally *rollout.Tally) { *tally = bad }, false},
		"too little was seen":           {func(tally *rollout.Tally) { tally.LogOdds = -1 }, false},
		"one alone has answered":        {func(tally *rollout.Tally) { tally.Answered = 1 }, false},
		"too few back ends":             {func(tally *rollout.Tally) { tally.Present = 3 }, false},
		"two thirds at a low load":      {func(tally *rollout.Tally) { tally.Present, tally.Others, tally.Load = 14, 21, 0.5 }, true},
		"two thirds at full load":       {func(tally *rollout.Tally) { tally.Present, tally.Others, tally.Load = 14, 21, 0.95 }, false},
		"nearly all at full load":       {func(tally *rollout.Tally) { tally.Present, tally.Others, tally.Load = 20, 22, 1.3 }, true},
		"no back end":                   {func(tally *rollout.Tally) { tally.Present = 0 }, false},
		"two, and one has spoken":       {func(tally *rollout.Tally) { tally.Present, tally.Others, tally.Answered, tally.LogOdds = 2, 2, 2, -4 }, false},
		"the only one, where one is it": {func(tally *rollout.Tally) { tally.Present, tally.Others, tally.Answered = 1, 1, 1 }, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			tally := good
			tc.change(&tally)
			NewWithT(t).Expect(tally.Promotes()).To(Equal(tc.want))
		})
	}
}

// TestSelect: how many requests of many go where in each phase.
func TestSelect(t *testing.T) {
	fresh := &roster.Record{Node: "a", Endpoint: &roster.Endpoint{Version: "v2"}}
	idle := &roster.Record{Node: "b", Endpoint: &roster.Endpoint{Version: "v2"}}
	old := &roster.Record{Node: "c", Endpoint: &roster.Endpoint{Version: "v1"}}
	unversioned := &roster.Record{Node: "d", Endpoint: &roster.Endpoint{}}
	assignment := rollout.TrialAssignment{BackEnds: []string{"a"}, Share: 0.05}
	const requests = 10000
	cases := []struct {
		name                  string
		phase                 rollout.Phase
		retry                 bool
		fresh, idle, old, all int
	}{
		{"on trial", rollout.Trial, false, 500, 0, 9500, 0},
		{"sent before", rollout.Trial, true, 0, 0, 10000, 0},
		{"promoted", rollout.Promoting, false, 10000, 10000, 0, 0},
		{"done", rollout.Completed, false, 10000, 10000, 0, 0},
		{"judged bad", rollout.Condemned, false, 0, 0, 10000, 0},
		{"taken back", rollout.RolledBack, false, 0, 0, 10000, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			assigned := rollout.TrialAssignment{}
			if tc.phase == rollout.Trial {
				assigned = assignment
			}
			plan := rollout.NewPlan(stateInPhase(tc.phase), assigned, nil, false, rollout.NewSplitter())
			counts := map[*roster.Record]int{}
			for range requests {
				selected := plan.Select(tc.retry)
				for _, record := range []*roster.Record{fresh, idle, old, unversioned} {
					if selected.Admits(record) {
						counts[record]++
					}
				}
			}
			g.Expect(counts[fresh]).To(BeNumerically("~", tc.fresh, 10))
			g.Expect(counts[idle]).To(BeNumerically("~", tc.idle, 10))
			g.Expect(counts[old]).To(BeNumerically("~", tc.old, 10))
			g.Expect(counts[unversioned]).To(Equal(counts[old]), "who tells no version is none of the new ones")
		})
	}
}

// TestHeldVersions: versions whose order was not heard get nothing, also beside a move.
func TestHeldVersions(t *testing.T) {
	g := NewWithT(t)
	record := func(version string) *roster.Record {
		return &roster.Record{Endpoint: &roster.Endpoint{Version: version}}
	}
	for _, state := range []rollout.State{{}, stateInPhase(rollout.RolledBack)} {
		plan := rollout.NewPlan(state, rollout.TrialAssignment{}, []string{"v3"}, false, rollout.NewSplitter())
		g.Expect(plan.Promoted()).To(BeFalse())
		for _, selected := range []rollout.Selection{plan.Select(false), plan.Fallback()} {
			g.Expect(selected.Admits(record("v1"))).To(BeTrue())
			g.Expect(selected.Admits(record("v3"))).To(BeFalse())
			g.Expect(selected.Admits(record("v2"))).To(Equal(state.Version == ""))
		}
	}
}

// TestAVersionThatIsAlone: while no other back end is there the version on trial takes
// everything; one that was judged bad does not.
func TestOnlyVersionAvailable(t *testing.T) {
	g := NewWithT(t)
	fresh := &roster.Record{Node: "a", Endpoint: &roster.Endpoint{Version: "v2"}}
	for phase, receives := range map[rollout.Phase]bool{rollout.Trial: true, rollout.Condemned: false, rollout.RolledBack: false} {
		plan := rollout.NewPlan(stateInPhase(phase), rollout.TrialAssignment{}, nil, true, rollout.NewSplitter())
		g.Expect(plan.Select(false).Admits(fresh)).To(Equal(receives), phase.String())
	}
}

// TestAnOrderThatIsWrittenAgain since the store came back from an older copy is the same order: what
// was decided stays. Within one era the same words are another order.
func TestMergeReissuedOrder(t *testing.T) {
	now := time.Unix(1000, 0)
	order := func(era, counter uint64) rollout.Order {
		return rollout.Order{Service: "s", Version: "v2", Revision: store.RevisionIn(era, counter), Duration: time.Minute}
	}
	cases := []struct {
		name    string
		local   rollout.State
		remote  rollout.Order
		phase   rollout.Phase
		changed bool
		stored  bool
	}{
		{"of a later era", rollout.State{Order: order(1, 500), Phase: rollout.Completed, Recorded: true}, order(2, 3), rollout.Completed, true, false},
		{"under way", rollout.State{Order: order(1, 500), Phase: rollout.Promoting, Recorded: true}, order(2, 3), rollout.Promoting, true, false},
		{"of an earlier era", rollout.State{Order: order(2, 3), Phase: rollout.Completed, Recorded: true}, order(1, 500), rollout.Completed, false, true},
		{"of the same era", rollout.State{Order: order(2, 3), Phase: rollout.Completed, Recorded: true}, order(2, 9), rollout.Trial, true, false},
		{"for another version", rollout.State{Order: rollout.Order{Service: "s", Version: "v1", Revision: store.RevisionIn(1, 500), Duration: time.Minute}, Phase: rollout.Completed}, order(2, 3), rollout.Trial, true, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			tc.local.Deadline = now.Add(time.Second)
			merged, changed := tc.local.Merge(rollout.NewState(tc.remote, now))
			g.Expect(changed).To(Equal(tc.changed))
			g.Expect(merged.Phase).To(Equal(tc.phase))
			g.Expect(merged.Recorded).To(Equal(tc.stored))
			if tc.changed {
				g.Expect(merged.Revision).To(Equal(tc.remote.Revision))
			}
			again, changed := merged.Merge(rollout.NewState(tc.remote, now))
			g.Expect(changed).To(BeFalse())
			g.Expect(again).To(Equal(merged))
		})
	}
}
