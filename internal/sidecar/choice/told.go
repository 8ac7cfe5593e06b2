package choice

import (
	"math"
	"time"
)

// reported is what a back end says of how long work takes there: by the speed of its machine, and by
// other work on it, which comes and goes. It is immutable; the zero value is of a back end that
// says nothing.
type reported struct {
	// factor is the last report, at when it came; zero before the first.
	factor float64
	at     time.Time
	// mean is the average over time.
	mean float64
}

const (
	// reportHalfLife is the time after which a report is half way to the average: other work on a
	// machine comes and goes within some tenths of a second.
	reportHalfLife = 300 * time.Millisecond
	// meanHalfLife is the time in which half of the average is renewed. It spans several periods
	// of other work.
	meanHalfLife = 3 * time.Second
	// reportMaximumAge is the age from which neither says anything.
	reportMaximumAge = 30 * time.Second
)

// updated returns what is known updated a report.
func (r reported) updated(factor float64, now time.Time) reported {
	if r.expired(now) {
		return reported{factor: factor, at: now, mean: factor}
	}
	kept := math.Exp2(-float64(max(now.Sub(r.at), 0)) / float64(meanHalfLife))
	return reported{factor: factor, at: now, mean: r.mean*kept + r.factor*(1-kept)}
}

// expired reports whether the back end says nothing, or has not for too long.
func (r reported) expired(now time.Time) bool {
	return r.factor == 0 || now.Sub(r.at) > reportMaximumAge
}

// current returns what the last report says now: an old one is worth no more than the average.
func (r reported) current(now time.Time) float64 {
	if r.expired(now) {
		return neutralFactor
	}
	fresh := math.Exp2(-float64(max(now.Sub(r.at), 0)) / float64(reportHalfLife))
	return r.mean + (r.factor-r.mean)*fresh
}
