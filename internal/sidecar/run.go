package sidecar

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/configuration"
)

// sweepInterval is the time between two looks at idle connections.
const sweepInterval = 2 * time.Second

// Run does the node's work in the background until the context ends.
func (s *Sidecar) Run(ctx context.Context) {
	var running sync.WaitGroup
	work := []func(){
		func() {
			configuration.Follow(ctx, s.options.Store, s.place(), s.keeper, s.follows, s.logger)
		},
		func() { s.membership.Run(ctx) },
		func() { s.rollouts.Run(ctx) },
		func() { s.exchanger.Run(ctx) },
		func() { s.sweep(ctx) },
	}
	for _, task := range work {
		running.Go(task)
	}
	running.Wait()
}

func (s *Sidecar) sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			s.egress.Sweep(now)
			s.ingress.Sweep(now)
			for _, node := range s.members.Forget(now) {
				s.egress.Drop(node)
				s.logger.Info("node forgotten", zap.String("peer", node))
			}
		case <-ctx.Done():
			return
		}
	}
}
