// Package occupancy estimates how many requests of other nodes are at a back end,
// from what its replies to this node said. The package is pure: the caller brings
// the time.
package occupancy

import (
	"math"
	"time"
)

// Estimate is what a node believes of one back end after a report. It is
// immutable; the zero value knows of no report.
type Estimate struct {
	// others is how many requests of others the last report told of.
	others float64
	// taken is when it came; zero before the first.
	reportedAt time.Time
	// gap is the smoothed time between two reports, zero before the second.
	gap time.Duration
	// halfLife is the time in which half of others is forgotten.
	halfLife time.Duration
}

const (
	// gapSmoothing is the weight of one gap in the smoothed one, as 1/n.
	gapSmoothing = 8
	// gapsRemembered is the half-life of a report in gaps. A report that has faded
	// before the next one comes makes the back end look idle to everybody; at four
	// gaps it has lost a sixth when the next one comes. In TestFleet half or twice as
	// many change nothing at 0.55 of the capacity, and late answers by a fifth at 0.7.
	halfLifeGaps = 4
	// leastHalfLife and mostHalfLife bound the half-life: whatever is told, a back
	// end that was full is tried again. The first report has the longest: a node
	// that asks rarely may not hear a second one for long.
	minHalfLife = 100 * time.Millisecond
	maxHalfLife = 30 * time.Second
	// fullTimes bounds what a report may tell, in units of the slots. A queue that
	// is longer serves nobody in time either.
	maxQueueFactor = 8
)

// After returns the estimate after a report of that many requests of others, at a
// back end of that many slots each of which is held for that time. A slot that is
// held for long is still taken when a report is old.
func (e Estimate) After(others float64, slots int, holdTime time.Duration, now time.Time) Estimate {
	next := Estimate{others: min(max(others, 0), float64(maxQueueFactor*max(slots, 1))), reportedAt: now, gap: e.gap}
	switch {
	case e.reportedAt.IsZero():
		next.halfLife = maxHalfLife
		return next
	case e.gap == 0:
		next.gap = now.Sub(e.reportedAt)
	default:
		next.gap += (now.Sub(e.reportedAt) - e.gap) / gapSmoothing
	}
	next.halfLife = min(max(halfLifeGaps*next.gap, holdTime, minHalfLife), maxHalfLife)
	return next
}

// OtherRequests returns how many requests of others are believed to be there.
func (e Estimate) OtherRequests(now time.Time) float64 {
	if e.others == 0 {
		return 0
	}
	return e.others * math.Exp2(-float64(now.Sub(e.reportedAt))/float64(e.halfLife))
}

// Weight returns the part of the last report that still counts, zero before the first.
func (e Estimate) Weight(now time.Time) float64 {
	if e.reportedAt.IsZero() {
		return 0
	}
	return math.Exp2(-float64(max(now.Sub(e.reportedAt), 0)) / float64(e.halfLife))
}

// HalfLife returns the time in which half of the report is forgotten.
func (e Estimate) HalfLife() time.Duration { return e.halfLife }
