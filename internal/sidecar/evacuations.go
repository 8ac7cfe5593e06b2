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
		Broadcast:  func() { go s.broadcastRecord(context.Background()) },
		OnChange:   s.evacuated,
		Logger:     s.logger,
	})
}

// evacuated handles that a zone was evacuated or that its evacuation ended. The zone's back ends may
// have gone cold meanwhile: each is asked before it receives more than a cold back end can handle.
func (s *Sidecar) evacuated(zone string, evacuated bool) {
	if zone == s.options.Settings.Zone {
		s.ingress.MarkPossiblyCold()
		s.logger.Info("own zone", zap.Bool("emptied", evacuated), zap.Int("callsInFlight", s.egress.InFlight()))
	}
}

// handleItemRemoved handles that operators removed the item under a key.
func (s *Sidecar) handleItemRemoved(key string, revision uint64) {
	if zone, is := s.options.EvacuatedZone(key); is {
		s.evacuations.ApplyOrder(evacuation.Order{Zone: zone, Revision: revision})
	}
}

// handleItemsListed reconciles the evacuation orders with all items that the store held at a
// revision.
func (s *Sidecar) handleItemsListed(found []store.KeyValue, revision uint64) {
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
