package sidecar

import (
	"context"
	"time"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/clock"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/lending"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/quota"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/repeats"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/roster"
)

// discoveryGracePeriod is the time after its start from which a node that has met peers, but has
// not yet read the members from the store, assumes that it knows about all of them.
const discoveryGracePeriod = 2 * time.Second

// knowsPeers reports whether the node can assume that it knows about all other nodes.
func (s *Sidecar) knowsPeers() bool {
	return s.peersDiscovered.Load() != nil || (s.exchanger.HadContact() && clock.Since(s.started) >= discoveryGracePeriod)
}

func (s *Sidecar) addQuota() {
	s.quota = quota.New(quota.Options{
		Node:            s.options.Settings.Node,
		View:            s.members.View,
		Reachable:       func(record *roster.Record) bool { return s.exchanger.Reachable(record) },
		MembershipKnown: s.knowsPeers,
		Limit: func(name string) (quota.Limit, bool) {
			tenant := s.keeper.Table().LimitedTenant(name)
			if tenant == nil {
				return quota.Limit{}, false
			}
			return quota.Limit{Rate: tenant.Rate, Burst: tenant.Burst}, true
		},
		Tenants: func() []string { return s.keeper.Table().LimitedTenantNames() },
		Bounds:  func() quota.Bounds { return s.settings.Load().Quota },
		Send: func(ctx context.Context, to *roster.Record, request *lending.GrantRequest) (*lending.GrantResponse, error) {
			return s.exchanger.AskQuota(ctx, to, request)
		},
		MarkLost: func(node string) { s.exchanger.MarkLost(node) },
		Logger:   s.logger,
		Registry: s.options.Registry,
	})
}

func (s *Sidecar) addRepeats() {
	s.repeats = repeats.New(repeats.Options{
		Node:            s.options.Settings.Node,
		View:            s.members.View,
		Reachable:       func(record *roster.Record) bool { return s.exchanger.Reachable(record) },
		MembershipKnown: s.knowsPeers,
		Limits:          func() repeats.Limits { return s.settings.Load().Retries },
		Services:        func() []string { return s.keeper.Table().ServiceNames() },
		Exists: func(service string) bool {
			table := s.keeper.Table()
			return table != nil && table.Service(service) != nil
		},
		On: func() bool { return s.options.Settings.LendRepeats && s.contention.On() },
		Send: func(ctx context.Context, to *roster.Record, request *lending.GrantRequest) (*lending.GrantResponse, error) {
			return s.exchanger.AskRepeats(ctx, to, request)
		},
		MarkLost: func(node string) { s.exchanger.MarkLost(node) },
		Logger:   s.logger,
		Registry: s.options.Registry,
	})
}
