package choice

import (
	"math"
	"time"
)

// reported tracks a back end's own reports of its slowdown, which depends on the speed of the
// machine and on transient load from other processes. It is immutable; the zero value belongs to a
// back end without reports.
type reported struct {
	// factor is the last report and at its arrival time; zero before the first.
	factor float64
	at     time.Time
	// mean is the average over time.
	mean float64
}

const (
	// reportHalfLife is the time after which a report has moved half way to the mean: load from
	// other processes changes within some tenths of a second.
	reportHalfLife = 300 * time.Millisecond
	// meanHalfLife is the half-life of the mean. It spans several load peaks of other processes.
	meanHalfLife = 3 * time.Second
	// reportMaximumAge is the age at which both the last report and the mean expire.
	reportMaximumAge = 30 * time.Second
)

// updated returns the state after a report.
func (r reported) updated(factor float64, now time.Time) reported {
	if r.expired(now) {
		return reported{factor: factor, at: now, mean: factor}
	}
	weight := math.Exp2(-float64(max(now.Sub(r.at), 0)) / float64(meanHalfLife))
	return reported{factor: factor, at: now, mean: r.mean*weight + r.factor*(1-weight)}
}

// expired reports whether there is no report or the last one is too old.
func (r reported) expired(now time.Time) bool {
	return r.factor == 0 || now.Sub(r.at) > reportMaximumAge
}

// current returns the present value of the last report, which decays toward the mean.
func (r reported) current(now time.Time) float64 {
	if r.expired(now) {
		return neutralFactor
	}
	weight := math.Exp2(-float64(max(now.Sub(r.at), 0)) / float64(reportHalfLife))
	return r.mean + (r.factor-r.mean)*weight
}
