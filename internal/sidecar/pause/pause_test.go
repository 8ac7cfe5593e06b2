package pause_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/pause"
)

func TestBackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		backoff := pause.Backoff{Base: 100 * time.Millisecond, Max: 300 * time.Millisecond}
		waited := func() time.Duration {
			started := time.Now()
			backoff.Pause(t.Context())
			return time.Since(started)
		}
		for _, longest := range []time.Duration{100, 200, 300, 300} {
			g.Expect(waited()).To(And(BeNumerically(">=", longest*time.Millisecond/2), BeNumerically("<=", longest*time.Millisecond)))
		}
		backoff.Reset()
		g.Expect(waited()).To(BeNumerically("<=", 100*time.Millisecond))
		ended, cancel := context.WithCancel(t.Context())
		cancel()
		started := time.Now()
		pause.Wait(ended, time.Hour)
		g.Expect(time.Since(started)).To(BeZero())
	})
}
