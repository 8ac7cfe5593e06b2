package exchange

import "time"

// Whom a node asks for a configuration, for the metrics.
const (
	askedPeer  = "peer"
	askedStore = "store"
)

// What a node that was asked for its version has said, for the metrics.
const (
	levelSame   = "same"
	levelNewer  = "newer"
	levelFailed = "failed"
)

// Observer is told how the node keeps level.
type Observer interface {
	// CaughtUp: the node was behind for so long since it had first heard so.
	CaughtUp(behind time.Duration)
	// FetchFinished: a question for a configuration has ended; whom is "peer" or "store".
	FetchFinished(whom string, err error)
	// VersionRequestFinished: another node was asked for its version. The result is one of the constants; the
	// age is that of its proof, below zero without one.
	VersionRequestFinished(result string, age time.Duration)
}

// unobserved is the observer of nobody.
type unobserved struct{}

// CaughtUp implements Observer.
func (unobserved) CaughtUp(time.Duration) {}

// FetchFinished implements Observer.
func (unobserved) FetchFinished(string, error) {}

// VersionRequestFinished implements Observer.
func (unobserved) VersionRequestFinished(string, time.Duration) {}
