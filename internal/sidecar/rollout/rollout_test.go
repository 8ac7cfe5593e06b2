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

func order(revision uint64) rollout.Order {
	return rollout.Order{Service: "s", Version: "v2", Revision: revision, Duration: 14 * time.Second}
}

func inPhase(phase rollout.Phase) rollout.State {
	move := rollout.NewState(order(5), start)
	move.Phase = phase
	return move
}

// TestMerge: the later order holds, of one order the later phase, and a move that is
// over stays as it is.
func TestMerge(t *testing.T) {
	later := rollout.NewState(order(6), start)
	cases := []struct {
		name        string
		held, other rollout.State
		want        rollout.Phase
		revision    uint64
		news        bool
	}{
		{"nothing was known", rollout.State{}, inPhase(rollout.Trial), rollout.Trial, 5, true},
		{"the same", inPhase(rollout.Trial), inPhase(rollout.Trial), rollout.Trial, 5, false},
		{"a later phase", inPhase(rollout.Trial), inPhase(rollout.Promoting), rollout.Promoting, 5, true},
		{"an earlier phase", inPhase(rollout.Promoting), inPhase(rollout.Trial), rollout.Promoting, 5, false},
		{"condemned while it is promoted", inPhase(rollout.Promoting), inPhase(rollout.Condemned), rollout.Condemned, 5, true},
		{"done, whoever condemned it", inPhase(rollout.Condemned), inPhase(rollout.Completed), rollout.Completed, 5, true},
		{"nothing follows on done", inPhase(rollout.Completed), inPhase(rollout.RolledBack), rollout.Completed, 5, false},
		{"nothing follows on taken back", inPhase(rollout.RolledBack), inPhase(rollout.Completed), rollout.RolledBack, 5, false},
		{"a later order", inPhase(rollout.Completed), later, rollout.Trial, 6, true},
		{"an earlier order", later, inPhase(rollout.Completed), rollout.Trial, 6, false},
	}
	for _, met := range cases {
		t.Run(met.name, func(t *testing.T) {
			g := NewWithT(t)
			merged, news := met.held.Merge(met.other)
			g.Expect(merged.Phase).To(Equal(met.want))
			g.Expect(merged.Revision).To(Equal(met.revision))
			g.Expect(news).To(Equal(met.news))
		})
	}
}

// TestTheEarlierDeadlineHolds: who heard late counts from then, who heard early is right.
func TestTheEarlierDeadlineHolds(t *testing.T) {
	g := NewWithT(t)
	heardLate := rollout.NewState(order(5), start.Add(time.Second))
	merged, news := heardLate.Merge(rollout.NewState(order(5), start))
	g.Expect(news).To(BeFalse())
	g.Expect(merged.Deadline).To(Equal(start.Add(14 * time.Second)))
}

// TestWhatTheStoreHas: that a phase was written is known from any node that knows, and
// holds for that phase only.
func TestWhatTheStoreHas(t *testing.T) {
	g := NewWithT(t)
	written := inPhase(rollout.Trial)
	written.Recorded = true
	merged, news := inPhase(rollout.Trial).Merge(written)
	g.Expect(news).To(BeFalse())
	g.Expect(merged.Recorded).To(BeTrue())
	merged, _ = merged.Merge(inPhase(rollout.Condemned))
	g.Expect(merged.Recorded).To(BeFalse())
	merged, _ = merged.Merge(written)
	g.Expect(merged.Recorded).To(BeFalse())
}

// TestTold: a move is the same after it was told, by a clock that is elsewhere.
func TestTold(t *testing.T) {
	g := NewWithT(t)
	move := inPhase(rollout.Condemned)
	move.Cause, move.Recorded = rollout.CauseFaulty, true
	there := time.Unix(90000, 0)
	heard, valid := move.Tell(start.Add(4 * time.Second)).Hear(there)
	g.Expect(valid).To(BeTrue())
	g.Expect(heard.Deadline).To(Equal(there.Add(10 * time.Second)))
	heard.Deadline = move.Deadline
	g.Expect(heard).To(Equal(move))
}

func TestToldThatCannotBe(t *testing.T) {
	spoil := map[string]func(*rollout.WireState){
		"no service":               func(told *rollout.WireState) { told.Service = "" },
		"no version":               func(told *rollout.WireState) { told.Version = "" },
		"no order":                 func(told *rollout.WireState) { told.Revision = 0 },
		"a phase after the last":   func(told *rollout.WireState) { told.Phase = rollout.RolledBack + 1 },
		"a phase before the first": func(told *rollout.WireState) { told.Phase = -1 },
		"no time":                  func(told *rollout.WireState) { told.DurationMS = 0 },
		"more left than there was": func(told *rollout.WireState) { told.LeftMS = told.DurationMS + 1 },
		"a time that overflows":    func(told *rollout.WireState) { told.DurationMS, told.LeftMS = 1<<62, 1<<61 },
		"over for ever":            func(told *rollout.WireState) { told.LeftMS = -1 << 62 },
	}
	for name, change := range spoil {
		t.Run(name, func(t *testing.T) {
			told := inPhase(rollout.Trial).Tell(start)
			change(&told)
			_, valid := told.Hear(start)
			NewWithT(t).Expect(valid).To(BeFalse())
		})
	}
}

var several = []string{"a", "b", "c", "d", "e"}

// exposure adds up what part of all requests a version gets between order and deadline,
// in units of the whole, when it turns bad after the last moment at which that could be
// noticed.
func exposure(limits rollout.Limits, duration time.Duration, others int, pace rollout.RequestRate) float64 {
	given := order(5)
	given.Duration = duration
	move := rollout.NewState(given, start)
	const step = time.Millisecond
	total := 0.0
	for now := start; now.Before(move.Deadline); now = now.Add(step) {
		if !now.Before(move.PromoteAt(limits)) {
			total += step.Seconds()
			continue
		}
		total += move.TrialAssignment(several, others, limits, pace, now).Share * step.Seconds()
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
func TestTimeToEnd(t *testing.T) {
	g := NewWithT(t)
	limits := rollout.DefaultLimits()
	for duration, least := range map[time.Duration]time.Duration{
		8 * time.Second: 280 * time.Millisecond, 14 * time.Second: 340 * time.Millisecond, time.Minute: 700 * time.Millisecond,
	} {
		given := order(5)
		given.Duration = duration
		move := rollout.NewState(given, start)
		g.Expect(move.CompleteAt(limits).Sub(move.PromoteAt(limits))).To(BeNumerically(">=", least))
		g.Expect(move.Deadline.Sub(move.CompleteAt(limits))).To(BeNumerically(">=", 280*time.Millisecond))
	}
}

// TestTheSlackBringsEvidence: where requests are few, the slack is used as well, but not
// all of it.
func TestTheSlackBringsEvidence(t *testing.T) {
	g := NewWithT(t)
	const members, perSecond, seconds = 48, 80.0, 14.0
	limits := rollout.DefaultLimits()
	got := exposure(limits, seconds*time.Second, 8, rollout.RequestRate{PerSecond: perSecond / members, Members: members})
	allowed := limits.Share + limits.Slack/(perSecond*seconds)
	g.Expect(got).To(BeNumerically("<=", allowed))
	g.Expect(got).To(BeNumerically(">=", limits.Share+0.02), "some 25 requests more than by the share")
}

// TestStint: few back ends at a time are on trial, with the load that the others have,
// and in turn.
func TestStint(t *testing.T) {
	g := NewWithT(t)
	limits := rollout.Limits{Share: 0.1}
	move := rollout.NewState(order(5), start)
	seen := map[string]bool{}
	for number := range 6 {
		stint := move.TrialAssignment(several, 34, limits, rollout.RequestRate{}, start.Add(time.Duration(number)*time.Second))
		g.Expect(stint.BackEnds).To(HaveLen(1))
		g.Expect(stint.Share).To(BeNumerically("~", 1.0/34, 1e-9))
		seen[stint.BackEnds[0]] = true
	}
	g.Expect(seen).To(HaveLen(3), "evidence gathers on few")
	g.Expect(move.TrialAssignment(several, 100, limits, rollout.RequestRate{}, start).BackEnds).To(HaveLen(2))
	last := move.PromoteAt(limits).Add(-2 * time.Second)
	g.Expect(move.TrialAssignment(several, 100, limits, rollout.RequestRate{}, last).BackEnds).To(HaveLen(3), "most go there at the end")
	g.Expect(move.TrialAssignment(several, 34, limits, rollout.RequestRate{}, last).BackEnds).To(HaveLen(2))
	g.Expect(move.TrialAssignment(several, 34, limits, rollout.RequestRate{}, last).Share).To(BeNumerically("~", 2.0/34, 1e-9))
	g.Expect(move.TrialAssignment(nil, 34, limits, rollout.RequestRate{}, start)).To(Equal(rollout.TrialAssignment{}))
	g.Expect(move.TrialAssignment(several, 0, limits, rollout.RequestRate{}, start)).To(Equal(rollout.TrialAssignment{}))
	g.Expect(move.TrialAssignment(several, 34, limits, rollout.RequestRate{}, move.PromoteAt(limits))).To(Equal(rollout.TrialAssignment{}))
	g.Expect(inPhase(rollout.Condemned).TrialAssignment(several, 34, limits, rollout.RequestRate{}, start)).To(Equal(rollout.TrialAssignment{}))
}

// good and bad are tallies of a version that is to be promoted and of one that is not.
var (
	good    = rollout.Tally{Present: 8, Others: 8, Answered: 3, For: 3, LogOdds: -9}
	bad     = rollout.Tally{Present: 8, Others: 8, Answered: 2, Faulty: 2, LogOdds: 8}
	unknown = rollout.Tally{Present: 8, Others: 8}
)

// TestDue: what is to be written when.
func TestDue(t *testing.T) {
	limits := rollout.Limits{Share: 0.1}
	move := rollout.NewState(order(5), start)
	promote, complete := move.PromoteAt(limits), move.CompleteAt(limits)
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
		{"the deadline has passed", rollout.Promoting, good, true, move.Deadline, rollout.RolledBack, true},
		{"judged bad", rollout.Condemned, bad, false, start, rollout.RolledBack, true},
		{"done, and the store does not know", rollout.Completed, bad, false, start, rollout.Completed, true},
		{"no other version is left", rollout.Trial, rollout.Tally{Present: 8}, true, complete, rollout.Completed, true},
		{"no other version is left, and it is bad", rollout.Condemned, rollout.Tally{Present: 8}, false, complete, rollout.RolledBack, true},
		{"nothing follows on done", rollout.Completed, bad, true, move.Deadline, rollout.Completed, false},
		{"nothing follows on taken back", rollout.RolledBack, good, true, move.Deadline, rollout.RolledBack, false},
	}
	for _, met := range cases {
		t.Run(met.name, func(t *testing.T) {
			g := NewWithT(t)
			held := inPhase(met.phase)
			held.Recorded = met.recorded
			phase, due := held.DuePhase(met.tally, limits, met.at)
			g.Expect(due).To(Equal(met.due))
			if due {
				g.Expect(phase).To(Equal(met.want))
			}
		})
	}
}

// TestJudged: a version is condemned by several back ends, without the store, and when no
// end of the move was heard of.
func TestJudged(t *testing.T) {
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
	for _, met := range cases {
		t.Run(met.name, func(t *testing.T) {
			g := NewWithT(t)
			judged, changed := inPhase(met.phase).Evaluate(met.tally, start.Add(met.at))
			g.Expect(judged.Phase).To(Equal(met.want))
			g.Expect(changed).To(Equal(met.want != met.phase))
			g.Expect(judged.Cause != "").To(Equal(changed))
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
	for name, met := range cases {
		t.Run(name, func(t *testing.T) {
			tally := good
			met.change(&tally)
			NewWithT(t).Expect(tally.Promotes()).To(Equal(met.want))
		})
	}
}

// TestSelect: how many requests of many go where in each phase.
func TestSelect(t *testing.T) {
	fresh := &roster.Record{Node: "a", Endpoint: &roster.Endpoint{Version: "v2"}}
	idle := &roster.Record{Node: "b", Endpoint: &roster.Endpoint{Version: "v2"}}
	old := &roster.Record{Node: "c", Endpoint: &roster.Endpoint{Version: "v1"}}
	nameless := &roster.Record{Node: "d", Endpoint: &roster.Endpoint{}}
	stint := rollout.TrialAssignment{BackEnds: []string{"a"}, Share: 0.05}
	const requests = 10000
	cases := []struct {
		name                  string
		phase                 rollout.Phase
		sentBefore            bool
		fresh, idle, old, all int
	}{
		{"on trial", rollout.Trial, false, 500, 0, 9500, 0},
		{"sent before", rollout.Trial, true, 0, 0, 10000, 0},
		{"promoted", rollout.Promoting, false, 10000, 10000, 0, 0},
		{"done", rollout.Completed, false, 10000, 10000, 0, 0},
		{"judged bad", rollout.Condemned, false, 0, 0, 10000, 0},
		{"taken back", rollout.RolledBack, false, 0, 0, 10000, 0},
	}
	for _, met := range cases {
		t.Run(met.name, func(t *testing.T) {
			g := NewWithT(t)
			given := rollout.TrialAssignment{}
			if met.phase == rollout.Trial {
				given = stint
			}
			plan := rollout.NewPlan(inPhase(met.phase), given, nil, false, rollout.NewSplitter())
			counts := map[*roster.Record]int{}
			for range requests {
				selected := plan.Select(met.sentBefore)
				for _, record := range []*roster.Record{fresh, idle, old, nameless} {
					if selected.Admits(record) {
						counts[record]++
					}
				}
			}
			g.Expect(counts[fresh]).To(BeNumerically("~", met.fresh, 10))
			g.Expect(counts[idle]).To(BeNumerically("~", met.idle, 10))
			g.Expect(counts[old]).To(BeNumerically("~", met.old, 10))
			g.Expect(counts[nameless]).To(Equal(counts[old]), "who tells no version is none of the new ones")
		})
	}
}

// TestHeldVersions: versions whose order was not heard get nothing, also beside a move.
func TestHeldVersions(t *testing.T) {
	g := NewWithT(t)
	record := func(version string) *roster.Record {
		return &roster.Record{Endpoint: &roster.Endpoint{Version: version}}
	}
	for _, move := range []rollout.State{{}, inPhase(rollout.RolledBack)} {
		plan := rollout.NewPlan(move, rollout.TrialAssignment{}, []string{"v3"}, false, rollout.NewSplitter())
		g.Expect(plan.Promoted()).To(BeFalse())
		for _, selected := range []rollout.Selection{plan.Select(false), plan.Fallback()} {
			g.Expect(selected.Admits(record("v1"))).To(BeTrue())
			g.Expect(selected.Admits(record("v3"))).To(BeFalse())
			g.Expect(selected.Admits(record("v2"))).To(Equal(move.Version == ""))
		}
	}
}

// TestAVersionThatIsAlone: while no other back end is there the version on trial takes
// everything; one that was judged bad does not.
func TestAVersionThatIsAlone(t *testing.T) {
	g := NewWithT(t)
	fresh := &roster.Record{Node: "a", Endpoint: &roster.Endpoint{Version: "v2"}}
	for phase, takes := range map[rollout.Phase]bool{rollout.Trial: true, rollout.Condemned: false, rollout.RolledBack: false} {
		plan := rollout.NewPlan(inPhase(phase), rollout.TrialAssignment{}, nil, true, rollout.NewSplitter())
		g.Expect(plan.Select(false).Admits(fresh)).To(Equal(takes), phase.String())
	}
}

// TestAnOrderThatIsWrittenAgain since the store came back from an older copy is the same order: what
// was decided stays. Within one era the same words are another order.
func TestAnOrderThatIsWrittenAgain(t *testing.T) {
	now := time.Unix(1000, 0)
	order := func(era, counter uint64) rollout.Order {
		return rollout.Order{Service: "s", Version: "v2", Revision: store.RevisionIn(era, counter), Duration: time.Minute}
	}
	cases := []struct {
		name   string
		held   rollout.State
		other  rollout.Order
		phase  rollout.Phase
		news   bool
		stored bool
	}{
		{"of a later era", rollout.State{Order: order(1, 500), Phase: rollout.Completed, Recorded: true}, order(2, 3), rollout.Completed, true, false},
		{"under way", rollout.State{Order: order(1, 500), Phase: rollout.Promoting, Recorded: true}, order(2, 3), rollout.Promoting, true, false},
		{"of an earlier era", rollout.State{Order: order(2, 3), Phase: rollout.Completed, Recorded: true}, order(1, 500), rollout.Completed, false, true},
		{"of the same era", rollout.State{Order: order(2, 3), Phase: rollout.Completed, Recorded: true}, order(2, 9), rollout.Trial, true, false},
		{"for another version", rollout.State{Order: rollout.Order{Service: "s", Version: "v1", Revision: store.RevisionIn(1, 500), Duration: time.Minute}, Phase: rollout.Completed}, order(2, 3), rollout.Trial, true, false},
	}
	for _, played := range cases {
		t.Run(played.name, func(t *testing.T) {
			g := NewWithT(t)
			played.held.Deadline = now.Add(time.Second)
			merged, news := played.held.Merge(rollout.NewState(played.other, now))
			g.Expect(news).To(Equal(played.news))
			g.Expect(merged.Phase).To(Equal(played.phase))
			g.Expect(merged.Recorded).To(Equal(played.stored))
			if played.news {
				g.Expect(merged.Revision).To(Equal(played.other.Revision))
			}
			again, news := merged.Merge(rollout.NewState(played.other, now))
			g.Expect(news).To(BeFalse())
			g.Expect(again).To(Equal(merged))
		})
	}
}
