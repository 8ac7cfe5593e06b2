package rollout

import (
	"math"
	"sync"
	"time"
)

// BaselineRates are the rates of bad answers of the versions in use before the rollout. A fault
// that affects every version does not count against the new one.
type BaselineRates struct {
	// Failing is the rate of failures, Slow the rate of answers that took SlowFactor times as
	// long as expected. Both are between 0 and 1.
	Failing, Slow float64
}

// SlowFactor is the multiple of the expected duration from which an answer counts as slow.
// Durations vary: one in fifty good answers takes four times the mean, and one in ten on the
// slowest back ends.
const SlowFactor = 4

// Answer is the result of one request to a back end, as evidence about its version.
type Answer struct {
	// Route is the name of the request's route. A version may be bad on a single route.
	Route string
	// Failed means that the answer is a failure or that none arrived. Slow means that it took
	// SlowFactor times as long as expected; a back end that is warming up must not be reported
	// as slow.
	Failed, Slow  bool
	BaselineRates BaselineRates
}

// The detector runs Page's cumulative sum test (E. S. Page, "Continuous Inspection Schemes",
// Biometrika 41, 1954) on the log-likelihood ratio of two rates of bad answers, for each route
// and for all routes together, with failures and slow answers apart. The test may be evaluated
// after each answer, and a version that turns bad late is found as fast as one that is bad at
// once.
//
// The sum raises the alarm but never indicates that a back end is good. For that the detector
// keeps the same ratio without the floor at zero, as in Wald's sequential test, as log odds
// that decay.
const (
	// The expected rate of bad answers is the baseline times baselineFactor plus
	// baselineMargin, and at most maxExpected.
	baselineFactor, baselineMargin, maxExpected = 1.5, 0.03, 0.6
	// badMargin is how far above the expected rate the rate to detect is. If a third of a
	// version's answers takes eight times as long, 0.3 of them count as slow.
	badMargin = 0.2
	// alarmThreshold is the sum at which a back end is faulty: four bad answers in a row.
	alarmThreshold = 4.5
	// suspectFraction is the fraction of the alarm threshold from which a back end no longer
	// counts in favor of its version: one of several routes may be bad while all together look
	// good (TestLowRequestRate).
	suspectFraction = 0.5
	// maxLogOdds bounds the log odds of one back end, so that others can outweigh it.
	maxLogOdds = 4.0
	// logOddsHalfLife is the half-life of the log odds. Answers from before a version turned
	// bad must not count in its favor for long.
	logOddsHalfLife = 4 * time.Second
	// maxRoutes bounds the number of routes with separate state.
	maxRoutes = 64
)

// Detector collects the evidence about one back end. It is safe for concurrent use. The zero
// value has no evidence.
type Detector struct {
	mu     sync.Mutex // guards all below
	all    cusum
	routes map[string]*cusum
	totals Evidence
	// logOdds is positive while the evidence is against the back end.
	logOdds   float64
	updatedAt time.Time
}

// cusum holds the cumulative sums of one route or of all routes.
type cusum struct{ failing, slow float64 }

// Evidence summarizes the answers of one back end and the result of the test.
type Evidence struct {
	Answers, Failed, Slow int
	// Faulty means that the back end fails or is slow more often than others. Once set it stays
	// set.
	Faulty bool
	// LogOdds are the log odds, from recent answers, that the back end is bad; negative values
	// are in its favor.
	LogOdds float64
}

// Evidence returns the evidence so far.
func (d *Detector) Evidence(now time.Time) Evidence {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.evidence(now)
}

func (d *Detector) evidence(now time.Time) Evidence {
	d.decay(now)
	result := d.totals
	result.LogOdds = d.logOdds
	if d.suspect() {
		result.LogOdds = max(d.logOdds, 0)
	}
	return result
}

// suspect reports whether a sum has reached suspectFraction of the alarm threshold. The back
// end then does not count in favor of its version.
func (d *Detector) suspect() bool {
	if d.all.peak() >= suspectFraction*alarmThreshold {
		return true
	}
	for _, route := range d.routes {
		if route.peak() >= suspectFraction*alarmThreshold {
			return true
		}
	}
	return false
}

// Observe records one answer and returns the evidence after it.
func (d *Detector) Observe(answer Answer, now time.Time) Evidence {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.count(answer)
	failing, slow := logLikelihoodRatio(answer.Failed, answer.BaselineRates.Failing), logLikelihoodRatio(answer.Slow, answer.BaselineRates.Slow)
	alarmed := d.all.add(failing, slow)
	alarmed = d.cusumOf(answer.Route).add(failing, slow) || alarmed
	d.totals.Faulty = d.totals.Faulty || alarmed
	d.decay(now)
	d.logOdds = min(max(d.logOdds+combinedRatio(failing, slow), -maxLogOdds), maxLogOdds)
	return d.evidence(now)
}

func (d *Detector) count(answer Answer) {
	d.totals.Answers++
	if answer.Failed {
		d.totals.Failed++
	}
	if answer.Slow {
		d.totals.Slow++
	}
}

// combinedRatio combines the two log-likelihood ratios of an answer. An answer that is bad in
// one respect is bad; one that is good in both is not counted twice.
func combinedRatio(failing, slow float64) float64 {
	if failing > 0 || slow > 0 {
		return max(failing, slow)
	}
	return (failing + slow) / 2
}

func (d *Detector) decay(now time.Time) {
	if elapsed := now.Sub(d.updatedAt); !d.updatedAt.IsZero() && elapsed > 0 {
		d.logOdds *= math.Exp2(-float64(elapsed) / float64(logOddsHalfLife))
	}
	d.updatedAt = now
}

func (d *Detector) cusumOf(route string) *cusum {
	if d.routes == nil {
		d.routes = map[string]*cusum{}
	}
	routeCUSUM := d.routes[route]
	if routeCUSUM == nil && len(d.routes) >= maxRoutes {
		return &d.all
	}
	if routeCUSUM == nil {
		routeCUSUM = &cusum{}
		d.routes[route] = routeCUSUM
	}
	return routeCUSUM
}

func (c *cusum) peak() float64 { return max(c.failing, c.slow) }

// add adds the ratios of one answer and reports whether the alarm is raised.
func (c *cusum) add(failing, slow float64) bool {
	c.failing = max(c.failing+failing, 0)
	c.slow = max(c.slow+slow, 0)
	return c.failing >= alarmThreshold || c.slow >= alarmThreshold
}

// logLikelihoodRatio returns the ratio of one answer. baseline is the rate of bad answers of
// the other versions.
func logLikelihoodRatio(bad bool, baseline float64) float64 {
	expected := min(max(baseline, 0)*baselineFactor+baselineMargin, maxExpected)
	shifted := expected + badMargin
	if bad {
		return math.Log(shifted / expected)
	}
	return math.Log((1 - shifted) / (1 - expected))
}

// Tally aggregates the evidence about the back ends of a version.
type Tally struct {
	// Present is the number of back ends of the version that accept requests, Others that of
	// the other versions.
	Present, Others int
	// Absent is the number of back ends of other versions that are in use, but whose nodes do not
	// accept requests while they are restarted.
	Absent int
	// Incomplete: the node may not know all back ends of the service yet.
	Incomplete bool
	// Load is the fraction of the slots of the other back ends in use; above 1 while requests
	// wait.
	Load float64
	// Answered is the number of back ends that have answered requests and Faulty how many of
	// them are faulty. Against and For count those with clear log odds against and for the
	// version.
	Answered, Faulty, Against, For int
	// LogOdds is the sum of the log odds of all back ends.
	LogOdds float64
}

// clearLogOdds is the absolute value from which the log odds of one back end are clear.
const clearLogOdds = 1.0

// Add adds the evidence of one back end.
func (t *Tally) Add(answers int, faulty bool, logOdds float64) {
	if answers == 0 {
		return
	}
	t.Answered++
	logOdds = min(max(logOdds, -maxLogOdds), maxLogOdds)
	t.LogOdds += logOdds
	switch {
	case faulty:
		t.Faulty++
	case logOdds >= clearLogOdds:
		t.Against++
	case logOdds <= -clearLogOdds:
		t.For++
	}
}

const (
	// quorumSize is the number of back ends that must agree, since a single one may be bad by
	// itself.
	quorumSize = 2
	// condemnThreshold and promoteThreshold are the sums of log odds at which a version is
	// condemned and promoted: odds of 55 and 148 to 1. Promotion needs more evidence, since a
	// version may turn bad late in the trial; with a stricter threshold, good versions are not
	// promoted at low request rates (TestBadVersions, TestLowRequestRate).
	condemnThreshold = 4.0
	promoteThreshold = -5.0
	// singlePromoteThreshold applies to a version with one back end, whose log odds cannot
	// exceed maxLogOdds and decay between two answers.
	singlePromoteThreshold = -3.5
	// headroomFactor is the capacity that the version must have relative to the load of the
	// others. At any load it must have at least minCapacity times as many back ends as the
	// others, and never needs more than maxCapacity times as many. A version that had lost 8 of
	// its 22 back ends to a scale-in and was promoted at full load left a third of the callers
	// refused for the rest of the day.
	headroomFactor           = 1.2
	minCapacity, maxCapacity = 0.5, 0.9
)

// quorum returns the number of back ends that must agree: all of them if there are few.
func (t Tally) quorum() int { return min(quorumSize, max(t.Present, 1)) }

// Condemns reports whether the version is bad: enough back ends are faulty, and at least as
// many as are in its favor; or enough are faulty or against it and the sum of the log odds is
// clear.
func (t Tally) Condemns() bool {
	if t.Faulty >= t.quorum() && t.Faulty >= t.For {
		return true
	}
	return t.Faulty+t.Against >= t.quorum() && t.LogOdds >= condemnThreshold
}

// Promotes reports whether all requests may go to the version: enough back ends have answered,
// their evidence is in its favor, and the version has enough capacity.
func (t Tally) Promotes() bool {
	return !t.Condemns() && t.Present > 0 && t.Answered >= t.quorum() && t.LogOdds <= t.promoteThreshold() && t.hasCapacity()
}

func (t Tally) promoteThreshold() float64 {
	if t.Present == 1 {
		return singlePromoteThreshold
	}
	return promoteThreshold
}

// hasCapacity reports whether the version's back ends can take the present load of the others.
func (t Tally) hasCapacity() bool {
	needed := min(max(t.Load*headroomFactor, minCapacity), maxCapacity)
	return float64(t.Present) >= needed*float64(t.Others)
}
