package exchange

import "time"

// Sources of a configuration, as metric labels.
const (
	fetchedFromPeer  = "peer"
	fetchedFromStore = "store"
)

// Results of a request for a peer's version, as metric labels.
const (
	versionSame   = "same"
	versionNewer  = "newer"
	versionFailed = "failed"
)

// Observer observes how the node stays up to date.
type Observer interface {
	// CaughtUp is called when the node has caught up, with the time since a newer version was first reported.
	CaughtUp(behind time.Duration)
	// FetchFinished is called when a fetch of the configuration has ended; the source is "peer" or "store".
	FetchFinished(source string, err error)
	// VersionRequestFinished is called when a request for another node's version has ended. The result is one
	// of the constants above; the age is that of the node's proof, negative without one.
	VersionRequestFinished(result string, age time.Duration)
}

// noopObserver ignores all events.
type noopObserver struct{}

// CaughtUp implements Observer.
func (noopObserver) CaughtUp(time.Duration) {}

// FetchFinished implements Observer.
func (noopObserver) FetchFinished(string, error) {}

// VersionRequestFinished implements Observer.
func (noopObserver) VersionRequestFinished(string, time.Duration) {}
