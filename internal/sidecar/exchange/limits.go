package exchange

import "time"

// DefaultBound is the time in which an accepted version has to be in force where the deployment
// tells none.
const DefaultBound = 2 * time.Second

// Parts of the bound. What begins at readStoreShare has the rest to bring a version and to put it in
// force; refuseShare leaves some for a request that was sent before it is answered.
const (
	refreshShare   = 0.3
	readStoreShare = 0.65
	refuseShare = 0.8
)

// limits are ages of a node's proof that it is level.
type limits struct {
	// refresh is the age from which on other nodes are asked, readStore that from which on the store is.
	refresh, readStore time.Duration
	// refuse is the greatest age at which a request is refused for good.
	refuse time.Duration
}

func newLimits(bound time.Duration) limits {
	return limits{refresh: ProofRefreshAge(bound), readStore: fraction(bound, readStoreShare), refuse: fraction(bound, refuseShare)}
}

// ProofRefreshAge returns how old the newest proof of a fleet may be, for the time in which a version has
// to be in force: from that age on nodes ask for another one.
func ProofRefreshAge(bound time.Duration) time.Duration { return fraction(bound, refreshShare) }

func fraction(bound time.Duration, share float64) time.Duration {
	return time.Duration(float64(bound) * share)
}
