package settings

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// watchInterval is the time between two looks at a settings file: it may change
// without a signal.
const watchInterval = 2 * time.Second

// Hangups takes over SIGHUP for good: from the call on, to the end of the process,
// the signal does nothing but arrive at the channel. It is to be called first of
// all. Left to itself the signal ends a process, also one that is still starting
// or has begun to stop.
func Hangups() <-chan os.Signal {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	return signals
}

// Watch calls the function at each signal of hangups and whenever the file's time
// or size has changed, until the context ends.
func Watch(ctx context.Context, path string, hangups <-chan os.Signal, changed func()) {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	seen := fileState(path)
	for {
		select {
		case <-hangups:
			seen = fileState(path)
			changed()
		case <-ticker.C:
			if now := fileState(path); now != seen {
				seen = now
				changed()
			}
		case <-ctx.Done():
			return
		}
	}
}

// state tells whether a file has changed.
type state struct {
	modified time.Time
	size     int64
}

func fileState(path string) state {
	found, err := os.Stat(path)
	if err != nil {
		return state{}
	}
	return state{modified: found.ModTime(), size: found.Size()}
}
