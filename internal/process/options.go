// Package process holds what kestreld and kestrel-proxy take from whoever
// starts them, beside their settings.
package process

import (
	"context"
	"io"
	"os"

	"github.com/kestrelstream/kestrelstream/internal/distribution/stream"
)

// Options are what a process passes beside its settings; L is the type of its
// listeners. The zero value is usable.
type Options[L any] struct {
	// Listeners replaces binding the addresses of the settings.
	Listeners *L
	// LogOutput takes the log; nil means standard error.
	LogOutput io.Writer
	// Force, when done, cuts an orderly stop short.
	Force context.Context
	// Dial replaces TCP for the connections this process opens.
	Dial stream.Dial
}

// WithDefaults returns the options with a log output and a context to force by.
func (o Options[L]) WithDefaults() Options[L] {
	if o.LogOutput == nil {
		o.LogOutput = os.Stderr
	}
	if o.Force == nil {
		o.Force = context.Background()
	}
	return o
}

// Bound returns the listeners given, or those that bind makes.
func (o Options[L]) Bound(bind func() (*L, error)) (*L, error) {
	if o.Listeners != nil {
		return o.Listeners, nil
	}
	return bind()
}
