package exchange

import "time"

// Whom a node asks for a configuration, for the metrics.
const (
	askedPeer  = "peer"
	askedStore = "store"
)

// Observer is told how the node keeps level.
type Observer interface {
	// CaughtUp: the node was behind for so long since it had first heard so.
	CaughtUp(behind time.Duration)
	// Asked: a question for a configuration has ended; whom is "peer" or "store".
	Asked(whom string, err error)
}

// unobserved is the observer of nobody.
type unobserved struct{}

// CaughtUp implements Observer.
func (unobserved) CaughtUp(time.Duration) {}

// Asked implements Observer.
func (unobserved) Asked(string, error) {}
