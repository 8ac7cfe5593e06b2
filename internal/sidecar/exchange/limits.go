package exchange

import "time"

// DefaultBound is the time in which an accepted version has to be in force where the deployment
// tells none.
const DefaultBound = 2 * time.Second

// Parts of the bound. What begins at probeShare has the rest to bring a version and to put it in
// force; finalShare leaves some for a request that was sent before it is answered.
const (
	askShare   = 0.3
	probeShare = 0.65
	finalShare = 0.8
)

// limits are ages of a node's proof that it is level.
type limits struct {
	// ask is the age from which on other nodes are asked, probe that from which on the store is.
	ask, probe time.Duration
	// final is the greatest age at which a request is refused for good.
	final time.Duration
}

func limitsOf(bound time.Duration) limits {
	return limits{ask: ProofRefreshAge(bound), probe: part(bound, probeShare), final: part(bound, finalShare)}
}

// ProofRefreshAge returns how old the newest proof of a fleet may be, for the time in which a version has
// to be in force: from that age on nodes ask for another one.
func ProofRefreshAge(bound time.Duration) time.Duration { return part(bound, askShare) }

func part(bound time.Duration, share float64) time.Duration {
	return time.Duration(float64(bound) * share)
}
