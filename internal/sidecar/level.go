package sidecar

import (
	"context"
	"net/http"
	"time"
)

// routesTo reports whether the configuration in force routes the request to the service. It returns
// true if that configuration is not newer than the one by which the request was routed. If the
// request's tenant has lost a key since then, it returns false: this node cannot tell whether the
// request came with that key, so the caller's node has to check again.
func (s *Sidecar) routesTo(request *http.Request, service string, version uint64) bool {
	table := s.keeper.Table()
	if table.Version() <= version {
		return true
	}
	if tenant := request.Header.Get(s.options.Vocabulary.Tenant); tenant != "" && s.keeper.LostKey(version, tenant) {
		return false
	}
	matched := table.MatchRequest(request)
	return matched != nil && matched.RoutesTo(service)
}

// freshness implements egress.Freshness for a node: it confirms that the configuration in force is
// the newest.
type freshness Sidecar

// Confirm implements egress.Freshness.
func (f *freshness) Confirm(ctx context.Context) bool { return f.exchanger.Confirm(ctx) }

// CatchUp implements egress.Freshness.
func (f *freshness) CatchUp(ctx context.Context, node string, version uint64) bool {
	return f.exchanger.CatchUp(ctx, f.members.View().Record(node), version)
}

// ProofAge implements egress.Freshness.
func (f *freshness) ProofAge() (time.Duration, bool) { return f.keeper.ProofAge() }

// RecordProof implements egress.Freshness.
func (f *freshness) RecordProof(version uint64, at time.Time) { f.keeper.RecordProof(version, at) }
