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

// metLongEnough is how long after its start a node that others are in touch with, but that has not
// read who is there, takes what it has heard for about all of them.
const metLongEnough = 2 * time.Second

// knowsOthers reports whether the node knows about all others.
func (s *Sidecar) knowsOthers() bool {
	return s.joined.Load() != nil || (s.exchanger.HadContact() && clock.Since(s.started) >= metLongEnough)
}

func (s *Sidecar) addQuota() {
	s.quota = quota.New(quota.Options{
		Node:            s.options.Settings.Node,
		View:            s.members.View,
		Reachable:       func(record *roster.Record) bool { return s.exchanger.Reachable(record) },
		MembershipKnown: s.knowsOthers,
		Limit: func(name string) (quota.Limit, bool) {
			tenant := s.keeper.Table().LimitedTenant(name)
			if tenant == nil {
				return quota.Limit{}, false
			}
			return quota.Limit{Rate: tenant.Rate, Burst: tenant.Burst}, true
		},
		Tenants: func() []string { return s.keeper.Table().LimitedTenantNames() },
		Bounds:  func() quota.Bounds { return s.settings.Load().Quota },
		Send: func(ctx context.Context, to *roster.Record, asked *lending.GrantRequest) (*lending.GrantResponse, error) {
			return s.exchanger.AskQuota(ctx, to, asked)
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
		MembershipKnown: s.knowsOthers,
		Limits:          func() repeats.Limits { return s.settings.Load().Retries },
		Services:        func() []string { return s.keeper.Table().ServiceNames() },
		Exists: func(service string) bool {
			table := s.keeper.Table()
			return table != nil && table.Service(service) != nil
		},
		On: func() bool { return s.options.Settings.LendRepeats && s.contention.On() },
		Send: func(ctx context.Context, to *roster.Record, asked *lending.GrantRequest) (*lending.GrantResponse, error) {
			return s.exchanger.AskRepeats(ctx, to, asked)
		},
		MarkLost: func(node string) { s.exchanger.MarkLost(node) },
		Logger:   s.logger,
		Registry: s.options.Registry,
	})
}
