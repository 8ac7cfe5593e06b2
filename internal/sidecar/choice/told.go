package choice

import (
	"math"
	"time"
)

// told is what a back end says of how long work takes there: by the speed of its machine, and by
// other work on it, which comes and goes. It is immutable; the zero value is of a back end that
// says nothing.
type told struct {
	// factor is the last report, at when it came; zero before the first.
	factor float64
	at     time.Time
	// mean is the average over time.
	mean float64
}

const (
	// toldHalfLife is the time after which a report is half way to the average: other work on a
	// machine comes and goes within some tenths of a second.
	toldHalfLife = 300 * time.Millisecond
	// meanHalfLife is the time in which half of the average is renewed. It spans several periods
	// of other work.
	meanHalfLife = 3 * time.Second
	// toldMost is the age from which neither says anything.
	toldMost = 30 * time.Second
)

// after returns what is known after a report.
func (t told) after(factor float64, now time.Time) told {
	if t.silent(now) {
		return told{factor: factor, at: now, mean: factor}
	}
	kept := math.Exp2(-float64(max(now.Sub(t.at), 0)) / float64(meanHalfLife))
	return told{factor: factor, at: now, mean: t.mean*kept + t.factor*(1-kept)}
}

// silent reports whether the back end says nothing, or has not for too long.
func (t told) silent(now time.Time) bool { return t.factor == 0 || now.Sub(t.at) > toldMost }

// believed returns what the last report says now: an old one is worth no more than the average.
func (t told) believed(now time.Time) float64 {
	if t.silent(now) {
		return usualFactor
	}
	fresh := math.Exp2(-float64(max(now.Sub(t.at), 0)) / float64(toldHalfLife))
	return t.mean + (t.factor-t.mean)*fresh
}
