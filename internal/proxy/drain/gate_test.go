package drain_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kestrelstream/kestrelstream/internal/proxy/drain"
)

func TestAllWaitersReturn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		gate := drain.NewGate()
		g.Expect(gate.Enter()).To(Equal(drain.Serving))
		gate.Begin(time.Second)
		done := make(chan error, 3)
		for range cap(done) {
			go func() { done <- gate.Wait(t.Context()) }()
		}
		time.Sleep(2 * time.Second)
		synctest.Wait()
		g.Expect(done).To(BeEmpty())
		gate.Leave()
		for range cap(done) {
			g.Expect(<-done).To(Succeed())
		}
	})
}

func TestResumeDuringTheAnnouncement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		gate := drain.NewGate()
		gate.Begin(time.Second)
		time.Sleep(500 * time.Millisecond)
		gate.Resume()
		time.Sleep(time.Second)
		g.Expect(gate.Phase()).To(Equal(drain.Serving))
		gate.Begin(time.Second)
		time.Sleep(999 * time.Millisecond)
		g.Expect(gate.Phase()).To(Equal(drain.Announced))
		time.Sleep(time.Millisecond)
		synctest.Wait()
		g.Expect(gate.Phase()).To(Equal(drain.Refusing))
	})
}

func TestForceRefusesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		gate := drain.NewGate()
		gate.Enter()
		gate.Begin(time.Hour)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		g.Expect(gate.Wait(ctx)).To(MatchError(drain.ErrForced))
		g.Expect(gate.Phase()).To(Equal(drain.Refusing))
		g.Expect(gate.InFlight()).To(Equal(1))
		gate.Leave()
		g.Expect(gate.Wait(ctx)).To(Succeed())
	})
}
