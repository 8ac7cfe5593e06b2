// Package occupancy estimates how many requests of other nodes are at a back end, from the load
// that its replies to this node report. The package is pure: the caller supplies the time.
package occupancy

import (
	"math"
	"time"
)

// Estimate is a node's estimate for one back end. It is immutable; the zero value has no
// report.
type Estimate struct {
	// others is the number of requests from other nodes in the last report.
	others float64
	// reportedAt is the arrival time of the last report; zero before the first.
	reportedAt time.Time
	// gap is the smoothed interval between reports; zero before the second.
	gap time.Duration
	// halfLife is the half-life of others.
	halfLife time.Duration
}

const (
	// gapSmoothing is the inverse weight of one gap in the smoothed gap.
	gapSmoothing = 8
	// halfLifeGaps is the half-life of a report in gaps. A report that has decayed before the
	// next one arrives makes the back end look idle to all nodes; with four gaps it has lost a
	// sixth by then. With many more, load that has ended is counted for too long.
	halfLifeGaps = 4
	// minHalfLife and maxHalfLife bound the half-life. Whatever is reported, a back end that
	// was full is eventually tried again. The first report gets maxHalfLife, since a node that
	// sends few requests may not receive a second one for long.
	minHalfLife = 100 * time.Millisecond
	maxHalfLife = 30 * time.Second
	// maxQueueFactor bounds a report, in multiples of the slots. A longer queue would not be
	// served in time anyway.
	maxQueueFactor = 8
)

// After returns the estimate after a report of that many requests from other nodes, at a back
// end with that many slots, each of which is held for holdTime. A slot that is held for long is
// still in use when the report is old.
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

// OtherRequests returns the estimated number of requests from other nodes.
func (e Estimate) OtherRequests(now time.Time) float64 {
	if e.others == 0 {
		return 0
	}
	return e.others * math.Exp2(-float64(now.Sub(e.reportedAt))/float64(e.halfLife))
}

// Weight returns the remaining weight of the last report; zero before the first.
func (e Estimate) Weight(now time.Time) float64 {
	if e.reportedAt.IsZero() {
		return 0
	}
	return math.Exp2(-float64(max(now.Sub(e.reportedAt), 0)) / float64(e.halfLife))
}

// HalfLife returns the half-life of the report.
func (e Estimate) HalfLife() time.Duration { return e.halfLife }
