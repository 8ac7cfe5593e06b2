package rollout

import (
	"math"
	"sync"
	"time"
)

// BaselineRates is how often answers of the versions before are bad: the trouble that strikes
// every version is not held against the new one.
type BaselineRates struct {
	// Failing is the share of failures, Slow that of answers that took SlowFactor times
	// as long as usual; both between zero and one.
	Failing, Slow float64
}

// SlowFactor is how many times as long as usual an answer takes that counts as slow.
// Times scatter: of good ones one of fifty takes four times the mean, of those on the
// slowest back ends one of ten.
const SlowFactor = 4

// Answer is what one request showed of a back end.
type Answer struct {
	// Route names the request's route: a version may be bad on one alone.
	Route string
	// Failed: the answer is a failure, or none came. Slow: it took SlowFactor times as
	// long as usual. A back end that warms up is not to be called slow.
	Failed, Slow  bool
	BaselineRates BaselineRates
}

// A judge runs Page's cumulative sum test (E. S. Page, "Continuous Inspection Schemes",
// Biometrika 41, 1954) on the log-likelihood ratio of two shares of bad answers, for each
// route and for all together, failures and slowness apart. It may be looked at after each
// answer, and a version that turns bad late is found as fast as one that is bad at once.
//
// The sum raises the alarm and never says that a back end is good. For that the judge keeps
// the same ratio without the floor, Wald's sequential test, as a lean that fades.
const (
	// usualFactor and usualMargin make the share that is still taken for usual.
	baselineFactor, baselineMargin, maxExpected = 1.5, 0.03, 0.6
	// badMargin is how much greater the share is that the test looks for: a version of
	// which a third of the answers is eight times as slow shows 0.3 of them as slow.
	badMargin = 0.2
	// alarm is the sum at which a back end is called faulty: four bad answers in a row.
	alarmThreshold = 4.5
	// waryPart is the part of the alarm at which a back end no longer speaks for its version:
	// one route of several may be bad while all together look well. Of 1,000 versions of which
	// half of one route of three is slow, 72 are promoted with 8 requests a second on trial in
	// place of 109, and as many good ones (TestFewRequests).
	suspectFraction = 0.5
	// leanMost bounds the lean of one back end: it is to be outweighed by others.
	maxLogOdds = 4.0
	// leanHalfLife is the time in which half of a lean is forgotten: what a version did
	// before it turned bad is not to vouch for it.
	logOddsHalfLife = 4 * time.Second
	// routesMost bounds the routes that are told apart.
	maxRoutes = 64
)

// Detector gathers the evidence of one back end. It is safe for concurrent use; the zero
// value has seen nothing.
type Detector struct {
	mu     sync.Mutex // guards all below
	all    cusum
	routes map[string]*cusum
	totals Evidence
	// lean is above zero while answers speak against the back end.
	logOdds   float64
	updatedAt time.Time
}

// sums are those of some routes.
type cusum struct{ failing, slow float64 }

// Evidence is what a judge has seen and thinks.
type Evidence struct {
	Answers, Failed, Slow int
	// Faulty: the back end fails, or is slow, more often than others are. It stays so.
	Faulty bool
	// LogOdds is how far the answers of late speak against the back end, or below zero for
	// it, as the logarithm of odds.
	LogOdds float64
}

// Evidence returns what was seen so far.
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

// wary reports whether a sum is on its way to the alarm: the back end does not speak for its
// version then.
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

// Observe takes in one answer and returns what the judge thinks then.
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

// strongest returns what an answer says in all: bad in one way is bad, and good in two
// ways is not twice as good.
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

// add takes in one answer and reports whether the alarm is raised.
func (c *cusum) add(failing, slow float64) bool {
	c.failing = max(c.failing+failing, 0)
	c.slow = max(c.slow+slow, 0)
	return c.failing >= alarmThreshold || c.slow >= alarmThreshold
}

// weight is the log-likelihood ratio of one answer. usual is the share of bad answers
// that the versions before give.
func logLikelihoodRatio(bad bool, baseline float64) float64 {
	expected := min(max(baseline, 0)*baselineFactor+baselineMargin, maxExpected)
	shifted := expected + badMargin
	if bad {
		return math.Log(shifted / expected)
	}
	return math.Log((1 - shifted) / (1 - expected))
}

// Tally sums up what the back ends of a version show.
type Tally struct {
	// Present is how many back ends of the version take work, Others how many of other
	// versions do.
	Present, Others int
	// Load is what part of the slots of the others is taken, above one where requests wait.
	Load float64
	// Answered is how many have answered requests, Faulty how many of these are faulty,
	// Against and For how many lean clearly that way.
	Answered, Faulty, Against, For int
	// LogOdds is the sum of theirs.
	LogOdds float64
}

// last reports whether no other version is left to go back to.
func (t Tally) onlyVersion() bool { return t.Present > 0 && t.Others == 0 }

// clearLean is how far one back end leans clearly.
const clearLogOdds = 1.0

// Add takes in what one back end shows.
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
	// severalBackEnds is how many back ends must agree: one may be bad by itself.
	quorumSize = 2
	// condemningLean and promotingLean are the sums of leans at which a version is
	// condemned and promoted: odds of 55 and 148 to 1. Of 1,000 simulated versions of which a
	// third of the answers is eight times as slow from 10 s of 14 s on, 0, 19 and 4 are
	// promoted with 25, 8 and 4 requests a second on trial, of good ones 1,000, 996 and 708. With
	// requests spread evenly over the trial and a lean of -4 it were 43, 190 and 12, and 1,000,
	// 997 and 645 (TestBadVersions, TestFewRequests).
	condemnThreshold = 4.0
	promoteThreshold = -5.0
	// loneLean is the lean at which a version of one back end is promoted: more than leanMost
	// that one cannot say, and it fades between two answers.
	singlePromoteThreshold = -3.5
	// headroom is how much more than the load of the others the version must have room
	// for. Of as many back ends as others leastRoom must be there at any load, and no more
	// than mostRoom need be. A version that had lost 8 of its 22 back ends to a scale-in
	// and was promoted at full load left a third of the callers refused for the rest of
	// the day.
	headroomFactor           = 1.2
	minCapacity, maxCapacity = 0.5, 0.9
)

// several is how many back ends must agree, of a version with fewer all of them.
func (t Tally) quorum() int { return min(quorumSize, max(t.Present, 1)) }

// Condemns reports whether the version is bad: several back ends are faulty, and no fewer
// than speak for it; or several speak against it, and all together do so clearly.
func (t Tally) Condemns() bool {
	if t.Faulty >= t.quorum() && t.Faulty >= t.For {
		return true
	}
	return t.Faulty+t.Against >= t.quorum() && t.LogOdds >= condemnThreshold
}

// Promotes reports whether all requests may move: several back ends have answered, all
// together they speak for the version, and there are enough of them.
func (t Tally) Promotes() bool {
	return !t.Condemns() && t.Present > 0 && t.Answered >= t.quorum() && t.LogOdds <= t.promoteThreshold() && t.hasCapacity()
}

func (t Tally) promoteThreshold() float64 {
	if t.Present == 1 {
		return singlePromoteThreshold
	}
	return promoteThreshold
}

// hasRoom reports whether the version's back ends can take what the others do now.
func (t Tally) hasCapacity() bool {
	needed := min(max(t.Load*headroomFactor, minCapacity), maxCapacity)
	return float64(t.Present) >= needed*float64(t.Others)
}
