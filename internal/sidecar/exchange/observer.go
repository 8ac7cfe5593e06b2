package exchange

import "time"

// Whom a node asks for a configuration, for the metrics.
const (
	fetchedFromPeer  = "peer"
	fetchedFromStore = "store"
)

// What a node that was asked for its version has said, for the metrics.
const (
	versionSame   = "same"
	versionNewer  = "newer"
	versionFailed = "failed"
)

// Observer is told how the node keeps level.
type Observer interface {
	// CaughtUp: the node was behind for so long since it had first heard so.
	CaughtUp(behind time.Duration)
	// FetchFinished: a question for a configuration has ended; whom is "peer" or "store".
	FetchFinished(source string, err error)
	// VersionRequestFinished: another node was asked for its version. The result is one of the constants; the
	// age is that of its proof, below zero without one.
	VersionRequestFinished(result string, age time.Duration)
}

// noopObserver is the observer of nobody.
type noopObserver struct{}

// CaughtUp implements Observer.
func (noopObserver) CaughtUp(time.Duration) {}

// FetchFinished implements Observer.
func (noopObserver) FetchFinished(string, error) {}

// VersionRequestFinished implements Observer.
func (noopObserver) VersionRequestFinished(string, time.Duration) {}
