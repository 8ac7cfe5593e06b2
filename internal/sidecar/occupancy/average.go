package occupancy

import (
	"math"
	"time"
)

// Average is the average number of requests from other nodes at back ends of one service and
// zone, by the recent replies to this node. It replaces the estimate of a back end without a
// fresh report. It is immutable; the zero value has no report.
type Average struct {
	// perSlot is the number of requests per slot at the time of the last report, reportedAt.
	perSlot    float64
	reportedAt time.Time
}

const (
	// averageSmoothing is the inverse weight of one report in the average.
	averageSmoothing = 8
	// averageHalfLife is the half-life of the average while no report arrives.
	averageHalfLife = 5 * time.Second
)

// After returns the average after a report of that many requests from other nodes at a back end
// with that many slots.
func (a Average) After(others float64, slots int, now time.Time) Average {
	reported := min(max(others/float64(max(slots, 1)), 0), maxQueueFactor)
	if a.reportedAt.IsZero() {
		return Average{perSlot: reported, reportedAt: now}
	}
	previous := a.PerSlot(now)
	return Average{perSlot: previous + (reported-previous)/averageSmoothing, reportedAt: now}
}

// PerSlot returns the estimated number of requests from other nodes per slot.
func (a Average) PerSlot(now time.Time) float64 {
	if a.perSlot == 0 {
		return 0
	}
	return a.perSlot * math.Exp2(-float64(max(now.Sub(a.reportedAt), 0))/float64(averageHalfLife))
}

// Age returns the age of the newest report; zero without any.
func (a Average) Age(now time.Time) time.Duration {
	if a.reportedAt.IsZero() {
		return 0
	}
	return now.Sub(a.reportedAt)
}
