package exchange

import "time"

// DefaultBound is the default of Options.Bound: the time within which an accepted version has to be
// in force.
const DefaultBound = 2 * time.Second

// Shares of the bound. From readStoreShare on the rest of the bound remains to obtain a version and put
// it in force; refuseShare leaves time for a request that was sent before the bound to be answered.
const (
	refreshShare   = 0.3
	readStoreShare = 0.65
	refuseShare    = 0.8
)

// limits are ages of a node's proof that it is up to date.
type limits struct {
	// refresh is the age from which other nodes are asked for newer proof, storeReads the age from which
	// the store is read.
	refresh, storeReads time.Duration
	// refuse is the greatest age at which a request may be refused for good.
	refuse time.Duration
}

func newLimits(bound time.Duration) limits {
	return limits{refresh: ProofRefreshAge(bound), storeReads: fraction(bound, readStoreShare), refuse: fraction(bound, refuseShare)}
}

// ProofRefreshAge returns the age from which nodes ask for a newer proof, given the time within which a
// version has to be in force. It bounds the age of the newest proof of a healthy fleet.
func ProofRefreshAge(bound time.Duration) time.Duration { return fraction(bound, refreshShare) }

func fraction(bound time.Duration, share float64) time.Duration {
	return time.Duration(float64(bound) * share)
}
