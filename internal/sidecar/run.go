package sidecar

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/clock"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/configuration"
)

// sweepInterval is the time between two sweeps of idle connections and forgotten nodes.
const sweepInterval = 2 * time.Second

// wakeRefreshTimeout bounds the read of the configuration after a suspension. The watch continues
// meanwhile.
const wakeRefreshTimeout = time.Second

// Run runs the node's background tasks until the context ends.
func (s *Sidecar) Run(ctx context.Context) {
	if err := clock.CheckSupport(); err != nil {
		s.logger.Warn("suspensions of the machine cannot be seen", zap.Error(err))
	}
	defer clock.OnWake(s.handleWake)()
	var workers sync.WaitGroup
	tasks := []func(){
		func() {
			configuration.Follow(ctx, s.options.Store, s.keyspace(), s.keeper, s.followsConfiguration, s.logger)
		},
		func() { s.membership.Run(ctx) },
		func() { s.rollouts.Run(ctx) },
		func() { s.exchanger.Run(ctx) },
		func() { s.quota.Run(ctx) },
		func() { s.repeats.Run(ctx) },
		func() { s.sweep(ctx) },
		func() { clock.Watch(ctx) },
	}
	for _, task := range tasks {
		workers.Go(task)
	}
	workers.Wait()
}

// handleWake handles that the machine was suspended. Meanwhile others may have closed connections,
// left, or changed the configuration: the node closes its idle connections so that no request uses
// one from before the suspension, and asks peers and the store for what it has missed.
func (s *Sidecar) handleWake(slept time.Duration) {
	s.logger.Warn("machine was suspended", zap.Duration("slept", slept), zap.Int("callsInFlight", s.egress.InFlight()))
	s.egress.CloseIdle()
	s.ingress.CloseIdle()
	go s.exchanger.Greet(context.Background())
	if s.isReader() {
		go s.refresh()
	}
}

// refresh reads the configuration, since a watch from before the suspension may no longer deliver
// changes.
func (s *Sidecar) refresh() {
	ctx, cancel := context.WithTimeout(context.Background(), wakeRefreshTimeout)
	defer cancel()
	if err := configuration.Refresh(ctx, s.options.Store, s.keyspace(), s.keeper); err != nil {
		s.logger.Warn("configuration not read after a suspension", zap.Error(err))
	}
}

func (s *Sidecar) sweep(ctx context.Context) {
	ticker := clock.NewTicker(sweepInterval)
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
