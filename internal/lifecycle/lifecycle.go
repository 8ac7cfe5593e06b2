// Package lifecycle turns the stop signals of a process into contexts: the
// first signal asks for an orderly stop, a second one forces it.
package lifecycle

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// Stop holds the two stages of a stop.
type Stop struct {
	// Requested ends at the first signal.
	Requested context.Context
	// Forced ends at the second signal.
	Forced context.Context
}

// signalQueue is how many signals may wait to be taken.
const signalQueue = 2

// Notify listens for SIGTERM and SIGINT until release is called.
func Notify() (stop Stop, release func()) {
	signals := make(chan os.Signal, signalQueue)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	stop, cancel := fromSignals(signals)
	return stop, func() {
		signal.Stop(signals)
		cancel()
	}
}

// fromSignals ends the stages as signals arrive, until cancel is called.
func fromSignals(signals <-chan os.Signal) (stop Stop, cancel func()) {
	requested, request := context.WithCancel(context.Background())
	forced, force := context.WithCancel(context.Background())
	released := make(chan struct{})
	go func() {
		defer request()
		defer force()
		for _, end := range []context.CancelFunc{request, force} {
			select {
			case <-signals:
				end()
			case <-released:
				return
			}
		}
	}()
	return Stop{Requested: requested, Forced: forced}, func() { close(released) }
}
