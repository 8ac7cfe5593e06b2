package sidecar

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/clock"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/evacuation"
	"github.com/kestrelstream/kestrelstream/internal/store"
)

func (s *Sidecar) addEvacuations() {
	s.evacuations = evacuation.New(evacuation.Options{
		ZoneExists: func(zone string) bool { return len(s.members.View().Zone(zone)) > 0 },
		Broadcast:  func() { go s.spread(context.Background()) },
		OnChange:   s.emptied,
		Logger:     s.logger,
	})
}

// emptied takes in that a zone was emptied or is taken back. Its back ends may have turned cold
// meanwhile: each is asked before it gets more than it bears then.
func (s *Sidecar) emptied(zone string, emptied bool) {
	if zone == s.options.Settings.Zone {
		s.ingress.MarkPossiblyCold()
		s.logger.Info("own zone", zap.Bool("emptied", emptied), zap.Int("callsInFlight", s.egress.InFlight()))
	}
}

// orderRemoved takes in that operators took back what lay under a key.
func (s *Sidecar) orderRemoved(key string, revision uint64) {
	if zone, is := s.options.EvacuatedZone(key); is {
		s.evacuations.ApplyOrder(evacuation.Order{Zone: zone, Revision: revision})
	}
}

// ordersListed takes in all orders that the store had at a revision.
func (s *Sidecar) ordersListed(found []store.KeyValue, revision uint64) {
	var zones []string
	for _, item := range found {
		if zone, is := s.options.EvacuatedZone(item.Key); is {
			zones = append(zones, zone)
		}
	}
	if s.evacuations.Reconcile(zones, revision, clock.Now()) {
		time.AfterFunc(evacuation.RewriteGracePeriod, s.refresh)
	}
}
