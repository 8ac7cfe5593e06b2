package occupancy

import (
	"math"
	"time"
)

// Average is how many requests of others back ends of one service and zone have on average, by what
// their replies to this node told of late. It stands in for a back end of which no fresh report is
// known. It is immutable; the zero value knows of no report.
type Average struct {
	// perSlot is how many requests there are for each slot, taken when the last report came.
	perSlot    float64
	reportedAt time.Time
}

const (
	// averageReports is how many reports the average is one of.
	averageSmoothing = 8
	// averageHalfLife is the time in which half of it is forgotten when no report comes.
	averageHalfLife = 5 * time.Second
)

// After returns the average after a report of that many requests of others at a back end of that
// many slots.
func (a Average) After(others float64, slots int, now time.Time) Average {
	reported := min(max(others/float64(max(slots, 1)), 0), maxQueueFactor)
	if a.reportedAt.IsZero() {
		return Average{perSlot: reported, reportedAt: now}
	}
	previous := a.PerSlot(now)
	return Average{perSlot: previous + (reported-previous)/averageSmoothing, reportedAt: now}
}

// PerSlot returns how many requests of others there are believed to be for each slot.
func (a Average) PerSlot(now time.Time) float64 {
	if a.perSlot == 0 {
		return 0
	}
	return a.perSlot * math.Exp2(-float64(max(now.Sub(a.reportedAt), 0))/float64(averageHalfLife))
}

// Age returns how old the newest report is, zero without any.
func (a Average) Age(now time.Time) time.Duration {
	if a.reportedAt.IsZero() {
		return 0
	}
	return now.Sub(a.reportedAt)
}
