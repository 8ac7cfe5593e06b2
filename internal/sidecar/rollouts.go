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
		Readers:         s.reading,
		Settled:         s.settled,
		Broadcast:       func() { go s.spread(context.Background()) },
		BroadcastRecord: func() { s.spread(context.Background()) },
		Logger:          s.logger,
		Registry:        s.options.Registry,
	})
}

// settleTime is how long after its start a node takes the versions that it meets for those
// in use: records of others come in any order then.
const settleTime = 5 * time.Second

// settled reports whether the node has a configuration, and with it the orders given
// before, and knows the others for some time.
func (s *Sidecar) settled() bool {
	return s.keeper.Version() > 0 && clock.Since(s.started) >= settleTime
}

// place is where the store has what operators write.
func (s *Sidecar) place() configuration.Keyspace {
	return configuration.Keyspace{
		Key: s.options.ConfigurationKey, Prefix: s.options.OperatorPrefix,
		OnOther: s.ordered, OnRemoved: s.orderRemoved, OnListed: s.ordersListed,
	}
}

// ordered takes in an item that operators wrote beside the configuration.
func (s *Sidecar) ordered(item store.KeyValue) {
	if zone, is := s.options.EvacuatedZone(item.Key); is {
		s.evacuations.ApplyOrder(evacuation.Order{Zone: zone, Revision: item.Revision, Evacuated: true})
		return
	}
	if !s.options.IsOrder(item.Key) {
		return
	}
	order, err := s.options.DecodeOrder(item)
	if err != nil {
		s.logger.Error("order of a roll-out refused", zap.String("key", item.Key), zap.Error(err))
		return
	}
	s.rollouts.ApplyOrder(order)
}

// reading returns the nodes of all zones that read the store.
func (s *Sidecar) reading() []*roster.Record {
	return readers.All(s.members.View(), s.exchanger.Reachable)
}

// judge compares the back end's version with others by what the node sees of its
// answers.
type judge struct{ sidecar *Sidecar }

// Refuses implements ingress.Judge.
func (j *judge) Refuses() bool { return j.sidecar.rollouts.Refuses() }

// Judges implements ingress.Judge.
func (j *judge) Judges() bool {
	judges := j.sidecar.rollouts.Judges()
	if judges {
		j.sidecar.stalls.Extend()
	}
	return judges
}

// Answered implements ingress.Judge. While the back end warms up it is slow whatever its
// version is, and so are all answers that were under way while the node stood still.
func (j *judge) Answered(request *http.Request, failed bool, worked, expected time.Duration, usual rollout.BaselineRates) {
	answer := rollout.Answer{Failed: failed, BaselineRates: usual}
	if table := j.sidecar.keeper.Table(); table != nil {
		if matched := table.MatchRequest(request); matched != nil {
			answer.Route = matched.Name
		}
	}
	until := j.sidecar.warm.Load()
	warm := until == 0 || clock.Stamp(clock.Now()) >= until
	worked -= j.sidecar.stalls.Stalled(clock.Now().Add(-worked))
	answer.Slow = warm && expected > 0 && worked > rollout.SlowFactor*expected
	j.sidecar.rollouts.Answered(answer)
}
