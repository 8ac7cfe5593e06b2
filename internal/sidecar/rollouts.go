package sidecar

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/clock"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/configuration"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/evacuation"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/readers"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/rollout"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/rollout/controller"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/roster"
	"github.com/kestrelstream/kestrelstream/internal/store"
)

func (s *Sidecar) addRollouts() {
	s.rollouts = controller.New(controller.Options{
		Store: s.options.Store, Codec: s.options.Rollouts, Members: s.members,
		Limits:          func() rollout.Limits { return s.settings.Load().Rollout },
		Load:            func(service, version string) float64 { return s.egress.Load(service, version) },
		Readers:         s.storeReaders,
		Settled:         s.settled,
		Broadcast:       func() { go s.broadcastRecord(context.Background()) },
		BroadcastRecord: func() { s.broadcastRecord(context.Background()) },
		Logger:          s.logger,
		Registry:        s.options.Registry,
	})
}

// settleTime is the time for which a node that knows other nodes takes all versions that it
// encounters for versions already in use, since the records of other nodes arrive in any order.
const settleTime = 5 * time.Second

// settled reports whether the node has a configuration, and with it all earlier orders, and has
// known the other nodes for settleTime.
func (s *Sidecar) settled() bool {
	since, known := s.peersKnownSince()
	return s.keeper.Version() > 0 && known && clock.Since(since) >= settleTime
}

// peersKnownSince returns the time at which the store first returned the other nodes, or one of them
// was first in contact with this one; false before.
func (s *Sidecar) peersKnownSince() (since time.Time, known bool) {
	since, known = s.exchanger.FirstContact()
	if read := s.peersDiscovered.Load(); read != nil && (!known || read.Before(since)) {
		return *read, true
	}
	return since, known
}

// keyspace describes the keys that operators write, with the handlers of their items.
func (s *Sidecar) keyspace() configuration.Keyspace {
	return configuration.Keyspace{
		Key: s.options.ConfigurationKey, Prefix: s.options.OperatorPrefix,
		OnOther: s.handleOperatorItem, OnRemoved: s.handleItemRemoved, OnListed: s.handleItemsListed,
	}
}

// handleOperatorItem handles an item other than the configuration that an operator wrote.
func (s *Sidecar) handleOperatorItem(item store.KeyValue) {
	if zone, is := s.options.EvacuatedZone(item.Key); is {
		s.evacuations.ApplyOrder(evacuation.Order{Zone: zone, Revision: item.Revision, Evacuated: true})
		return
	}
	if !s.options.IsOrderKey(item.Key) {
		return
	}
	order, err := s.options.DecodeOrder(item)
	if err != nil {
		s.logger.Error("order of a roll-out refused", zap.String("key", item.Key), zap.Error(err))
		return
	}
	s.rollouts.ApplyOrder(order)
}

// storeReaders returns the nodes of all zones that read the store.
func (s *Sidecar) storeReaders() []*roster.Record {
	return readers.All(s.members.View(), s.exchanger.Reachable)
}

// answerJudge implements ingress.Judge: it passes the results of the back end's answers to the
// roll-out controller, which compares its version with others.
type answerJudge struct{ sidecar *Sidecar }

// Refuses implements ingress.Judge.
func (j *answerJudge) Refuses() bool { return j.sidecar.rollouts.Refuses() }

// Judges implements ingress.Judge.
func (j *answerJudge) Judges() bool {
	judges := j.sidecar.rollouts.Judges()
	if judges {
		j.sidecar.stalls.Extend()
	}
	return judges
}

// Answered implements ingress.Judge. An answer does not count as slow while the back end warms up,
// when any version is slow. Time during which this process was stalled is subtracted from the
// answer's duration.
func (j *answerJudge) Answered(request *http.Request, failed bool, worked, expected time.Duration, usual rollout.BaselineRates) {
	answer := rollout.Answer{Failed: failed, BaselineRates: usual}
	if table := j.sidecar.keeper.Table(); table != nil {
		if matched := table.MatchRequest(request); matched != nil {
			answer.Route = matched.Name
		}
	}
	until := j.sidecar.warmedUp.Load()
	warmedUp := until == 0 || clock.Stamp(clock.Now()) >= until
	worked -= j.sidecar.stalls.Stalled(clock.Now().Add(-worked))
	answer.Slow = warmedUp && expected > 0 && worked > rollout.SlowFactor*expected
	j.sidecar.rollouts.Answered(answer)
}
