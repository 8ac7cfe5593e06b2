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

// TestMerge checks that the later order wins, that the later phase of one order wins, and that
// a final phase does not change.
func TestMerge(t *testing.T) {
	later := rollout.NewState(newOrder(6), start)
	cases := []struct {
		name          string
		local, remote rollout.State
		want          rollout.Phase
		revision      uint64
		changed       bool
	}{
		{"no local state", rollout.State{}, stateInPhase(rollout.Trial), rollout.Trial, 5, true},
		{"the same", stateInPhase(rollout.Trial), stateInPhase(rollout.Trial), rollout.Trial, 5, false},
		{"a later phase", stateInPhase(rollout.Trial), stateInPhase(rollout.Promoting), rollout.Promoting, 5, true},
		{"an earlier phase", stateInPhase(rollout.Promoting), stateInPhase(rollout.Trial), rollout.Promoting, 5, false},
		{"condemned while promoting", stateInPhase(rollout.Promoting), stateInPhase(rollout.Condemned), rollout.Condemned, 5, true},
		{"completed overrides condemned", stateInPhase(rollout.Condemned), stateInPhase(rollout.Completed), rollout.Completed, 5, true},
		{"completed is final", stateInPhase(rollout.Completed), stateInPhase(rollout.RolledBack), rollout.Completed, 5, false},
		{"rolled back is final", stateInPhase(rollout.RolledBack), stateInPhase(rollout.Completed), rollout.RolledBack, 5, false},
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

// TestMergeKeepsEarlierDeadline guards against a deadline that is too late: a node that
// receives an order late computes the deadline from that time.
func TestMergeKeepsEarlierDeadline(t *testing.T) {
	g := NewWithT(t)
	receivedLate := rollout.NewState(newOrder(5), start.Add(time.Second))
	merged, changed := receivedLate.Merge(rollout.NewState(newOrder(5), start))
	g.Expect(changed).To(BeFalse())
	g.Expect(merged.Deadline).To(Equal(start.Add(14 * time.Second)))
}

// TestMergeRecorded checks that Recorded is merged from any node that has it, for the same
// phase only.
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

// TestWireStateRoundTrip checks that a state is unchanged after an exchange between nodes whose
// clocks differ.
func TestWireStateRoundTrip(t *testing.T) {
	g := NewWithT(t)
	state := stateInPhase(rollout.Condemned)
	state.Cause, state.Recorded = rollout.CauseFaulty, true
	remoteNow := time.Unix(90000, 0)
	decoded, valid := state.Export(start.Add(4 * time.Second)).Import(remoteNow)
	g.Expect(valid).To(BeTrue())
	g.Expect(decoded.Deadline).To(Equal(remoteNow.Add(10 * time.Second)))
	decoded.Deadline = state.Deadline
	g.Expect(decoded).To(Equal(state))
}

func TestInvalidWireState(t *testing.T) {
	invalid := map[string]func(*rollout.SharedState){
		"no service":                        func(wire *rollout.SharedState) { wire.Service = "" },
		"no version":                        func(wire *rollout.SharedState) { wire.Version = "" },
		"no order":                          func(wire *rollout.SharedState) { wire.Revision = 0 },
		"a phase after the last":            func(wire *rollout.SharedState) { wire.Phase = rollout.RolledBack + 1 },
		"a phase before the first":          func(wire *rollout.SharedState) { wire.Phase = -1 },
		"no duration":                       func(wire *rollout.SharedState) { wire.DurationMS = 0 },
		"remaining time above the duration": func(wire *rollout.SharedState) { wire.LeftMS = wire.DurationMS + 1 },
		"durations that overflow":           func(wire *rollout.SharedState) { wire.DurationMS, wire.LeftMS = 1<<62, 1<<61 },
		"deadline too far in the past":      func(wire *rollout.SharedState) { wire.LeftMS = -1 << 62 },
	}
	for name, change := range invalid {
		t.Run(name, func(t *testing.T) {
			wire := stateInPhase(rollout.Trial).Export(start)
			change(&wire)
			_, valid := wire.Import(start)
			NewWithT(t).Expect(valid).To(BeFalse())
		})
	}
}

var candidates = []string{"a", "b", "c", "d", "e"}

// exposure returns the fraction of all requests between order and deadline that a version gets
// if it turns bad too late to be detected.
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

// TestExposure checks that a version without bad answers until the end gets less than the
// allowed share, for any duration and number of back ends, and more than half of it, so that
// requests in progress elsewhere have time to end.
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

// TestCompletionTiming checks that there is time between promotion and completion for the
// requests in progress on other versions, and between completion and deadline for the
// operator's tool to see the result.
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

// TestSlackAtLowRequestRate checks that the slack is used at low request rates, but not all of
// it.
func TestSlackAtLowRequestRate(t *testing.T) {
	g := NewWithT(t)
	const nodes, requestsPerSecond, seconds = 48, 80.0, 14.0
	limits := rollout.DefaultLimits()
	got := exposure(limits, seconds*time.Second, 8, rollout.RequestRate{PerSecond: requestsPerSecond / nodes, Members: nodes})
	allowed := limits.Share + limits.Slack/(requestsPerSecond*seconds)
	g.Expect(got).To(BeNumerically("<=", allowed))
	g.Expect(got).To(BeNumerically(">=", limits.Share+0.02), "some 25 requests more than the share alone gives")
}

// TestTrialAssignment checks that few back ends are on trial at a time, in turn and with the
// load of the others.
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
	g.Expect(seen).To(HaveLen(3), "evidence accumulates on few back ends")
	g.Expect(state.TrialAssignment(candidates, 100, limits, rollout.RequestRate{}, start).BackEnds).To(HaveLen(2))
	finalPart := state.PromoteAt(limits).Add(-2 * time.Second)
	g.Expect(state.TrialAssignment(candidates, 100, limits, rollout.RequestRate{}, finalPart).BackEnds).To(HaveLen(3), "higher weight at the end of the trial")
	g.Expect(state.TrialAssignment(candidates, 34, limits, rollout.RequestRate{}, finalPart).BackEnds).To(HaveLen(2))
	g.Expect(state.TrialAssignment(candidates, 34, limits, rollout.RequestRate{}, finalPart).Share).To(BeNumerically("~", 2.0/34, 1e-9))
	g.Expect(state.TrialAssignment(nil, 34, limits, rollout.RequestRate{}, start)).To(Equal(rollout.TrialAssignment{}))
	g.Expect(state.TrialAssignment(candidates, 0, limits, rollout.RequestRate{}, start)).To(Equal(rollout.TrialAssignment{}))
	g.Expect(state.TrialAssignment(candidates, 34, limits, rollout.RequestRate{}, state.PromoteAt(limits))).To(Equal(rollout.TrialAssignment{}))
	g.Expect(stateInPhase(rollout.Condemned).TrialAssignment(candidates, 34, limits, rollout.RequestRate{}, start)).To(Equal(rollout.TrialAssignment{}))
}

// good and bad are tallies of a version to promote and of one to condemn.
var (
	good    = rollout.Tally{Present: 8, Others: 8, Answered: 3, For: 3, LogOdds: -9}
	bad     = rollout.Tally{Present: 8, Others: 8, Answered: 2, Faulty: 2, LogOdds: 8}
	unknown = rollout.Tally{Present: 8, Others: 8}
	// alone is the tally of a node that knows no back end of another version, but may not know all.
	alone = rollout.Tally{Present: 1, Incomplete: true}
)

// TestDuePhase checks which phase is to be written at which time.
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
		{"new order", rollout.Trial, unknown, false, start, rollout.Trial, true},
		{"on trial", rollout.Trial, good, true, start.Add(9 * time.Second), rollout.Trial, false},
		{"time to promote", rollout.Trial, good, true, promote, rollout.Promoting, true},
		{"no evidence", rollout.Trial, unknown, true, promote, rollout.Trial, false},
		{"no evidence until completion is due", rollout.Trial, unknown, true, complete, rollout.RolledBack, true},
		{"too late to promote", rollout.Trial, good, true, complete, rollout.RolledBack, true},
		{"before completion is due", rollout.Promoting, good, true, complete.Add(-time.Millisecond), rollout.Completed, false},
		{"done", rollout.Promoting, good, true, complete, rollout.Completed, true},
		{"the deadline has passed", rollout.Promoting, good, true, state.Deadline, rollout.RolledBack, true},
		{"found bad", rollout.Condemned, bad, false, start, rollout.RolledBack, true},
		{"completed, not recorded", rollout.Completed, bad, false, start, rollout.Completed, true},
		{"only version left", rollout.Trial, rollout.Tally{Present: 8}, true, complete, rollout.Completed, true},
		{"only version left, and condemned", rollout.Condemned, rollout.Tally{Present: 8}, false, complete, rollout.RolledBack, true},
		{"other versions are not known yet", rollout.Trial, alone, true, complete, rollout.Trial, false},
		{"other versions are not known by the deadline", rollout.Trial, alone, true, state.Deadline, rollout.Trial, false},
		{"nothing is known yet", rollout.Trial, rollout.Tally{Incomplete: true}, true, state.Deadline, rollout.Trial, false},
		{"some other version is known", rollout.Trial, rollout.Tally{Present: 1, Others: 1, Incomplete: true}, true, complete, rollout.RolledBack, true},
		{"condemned where others are not known yet", rollout.Condemned, alone, false, complete, rollout.RolledBack, true},
		{"completed is final", rollout.Completed, bad, true, state.Deadline, rollout.Completed, false},
		{"rolled back is final", rollout.RolledBack, good, true, state.Deadline, rollout.RolledBack, false},
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

// TestOnlyVersion guards against a version that counts as the only one in use because its node knows no others.
func TestOnlyVersion(t *testing.T) {
	cases := []struct {
		name  string
		tally rollout.Tally
		only  bool
	}{
		{"no other is left", rollout.Tally{Present: 8}, true},
		{"others are in use", unknown, false},
		{"others are not known yet", alone, false},
		{"others are being restarted", rollout.Tally{Present: 8, Absent: 1}, false},
		{"no back end at all", rollout.Tally{}, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			g.Expect(tc.tally.OnlyVersion()).To(Equal(tc.only))
			started := rollout.Start(newOrder(5), tc.tally, start)
			g.Expect(started.Phase == rollout.Completed).To(Equal(tc.only))
		})
	}
}

// TestEvaluate checks that a version is condemned by several back ends without the store, and
// when the deadline has passed without a known result.
func TestEvaluate(t *testing.T) {
	cases := []struct {
		name  string
		phase rollout.Phase
		tally rollout.Tally
		at    time.Duration
		want  rollout.Phase
	}{
		{"no evidence", rollout.Trial, unknown, time.Second, rollout.Trial},
		{"two are faulty", rollout.Trial, bad, time.Second, rollout.Condemned},
		{"two are faulty while promoting", rollout.Promoting, bad, 13500 * time.Millisecond, rollout.Condemned},
		{"one of several is faulty", rollout.Trial, rollout.Tally{Present: 8, Others: 8, Answered: 2, Faulty: 1, For: 1}, time.Second, rollout.Trial},
		{"the only one is faulty", rollout.Trial, rollout.Tally{Present: 1, Others: 8, Answered: 1, Faulty: 1, LogOdds: 4}, time.Second, rollout.Condemned},
		{"two are faulty and three are good", rollout.Trial, rollout.Tally{Present: 8, Others: 8, Answered: 5, Faulty: 2, For: 3, LogOdds: -4}, time.Second, rollout.Trial},
		{"two have log odds against it", rollout.Trial, rollout.Tally{Present: 8, Others: 8, Answered: 2, Against: 2, LogOdds: 4}, time.Second, rollout.Condemned},
		{"the deadline has just passed", rollout.Promoting, good, 14500 * time.Millisecond, rollout.Promoting},
		{"others are not known long after the deadline", rollout.Trial, alone, 16 * time.Second, rollout.Trial},
		{"no result long after the deadline", rollout.Promoting, good, 16 * time.Second, rollout.Condemned},
		{"completed is final", rollout.Completed, bad, 16 * time.Second, rollout.Completed},
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
		"good":                              {func(*rollout.Tally) {}, true},
		"one of several is faulty":          {func(tally *rollout.Tally) { tally.Faulty, tally.For = 1, 2 }, true},
		"bad":                               {func(tally *rollout.Tally) { *tally = bad }, false},
		"not enough evidence":               {func(tally *rollout.Tally) { tally.LogOdds = -1 }, false},
		"only one has answered":             {func(tally *rollout.Tally) { tally.Answered = 1 }, false},
		"too few back ends":                 {func(tally *rollout.Tally) { tally.Present = 3 }, false},
		"two thirds at a low load":          {func(tally *rollout.Tally) { tally.Present, tally.Others, tally.Load = 14, 21, 0.5 }, true},
		"two thirds at full load":           {func(tally *rollout.Tally) { tally.Present, tally.Others, tally.Load = 14, 21, 0.95 }, false},
		"nearly all at full load":           {func(tally *rollout.Tally) { tally.Present, tally.Others, tally.Load = 20, 22, 1.3 }, true},
		"no back end":                       {func(tally *rollout.Tally) { tally.Present = 0 }, false},
		"two back ends, one with evidence":  {func(tally *rollout.Tally) { tally.Present, tally.Others, tally.Answered, tally.LogOdds = 2, 2, 2, -4 }, false},
		"the only back end of each version": {func(tally *rollout.Tally) { tally.Present, tally.Others, tally.Answered = 1, 1, 1 }, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			tally := good
			tc.change(&tally)
			NewWithT(t).Expect(tally.Promotes()).To(Equal(tc.want))
		})
	}
}

// TestSelect checks the distribution of requests in each phase.
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
		{"a retry", rollout.Trial, true, 0, 0, 10000, 0},
		{"promoted", rollout.Promoting, false, 10000, 10000, 0, 0},
		{"done", rollout.Completed, false, 10000, 10000, 0, 0},
		{"found bad", rollout.Condemned, false, 0, 0, 10000, 0},
		{"rolled back", rollout.RolledBack, false, 0, 0, 10000, 0},
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
			g.Expect(counts[unversioned]).To(Equal(counts[old]), "a back end without a version is not of the new version")
		})
	}
}

// TestWithheldVersions checks that withheld versions get nothing, with and without a rollout.
func TestWithheldVersions(t *testing.T) {
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

// TestOnlyVersionAvailable checks that a version on trial takes everything if no other back end
// is available, and that a condemned one does not.
func TestOnlyVersionAvailable(t *testing.T) {
	g := NewWithT(t)
	fresh := &roster.Record{Node: "a", Endpoint: &roster.Endpoint{Version: "v2"}}
	for phase, receives := range map[rollout.Phase]bool{rollout.Trial: true, rollout.Condemned: false, rollout.RolledBack: false} {
		plan := rollout.NewPlan(stateInPhase(phase), rollout.TrialAssignment{}, nil, true, rollout.NewSplitter())
		g.Expect(plan.Select(false).Admits(fresh)).To(Equal(receives), phase.String())
	}
}

// TestMergeReissuedOrder checks that an order written again after the store was restored from
// an older copy is the same order and keeps its decision. Within one era an identical order is
// a new one.
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
		{"in progress", rollout.State{Order: order(1, 500), Phase: rollout.Promoting, Recorded: true}, order(2, 3), rollout.Promoting, true, false},
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
