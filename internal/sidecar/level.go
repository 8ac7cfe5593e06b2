package sidecar

import (
	"context"
	"net/http"
	"time"
)

// serves reports whether the configuration in force leads the request to the service. One
// that is not newer than that by which the request was routed says nothing. Of a tenant that
// has lost a key since then nobody here can tell whether the request came with that one: its
// own node is to look again.
func (s *Sidecar) serves(request *http.Request, service string, version uint64) bool {
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

// level implements egress.Freshness: it confirms that the configuration in force is the newest.
type level Sidecar

// Confirm implements egress.Freshness.
func (l *level) Confirm(ctx context.Context) bool { return l.exchanger.Confirm(ctx) }

// CatchUp implements egress.Freshness.
func (l *level) CatchUp(ctx context.Context, node string, version uint64) bool {
	return l.exchanger.CatchUp(ctx, l.members.View().Record(node), version)
}

// ProofAge implements egress.Freshness.
func (l *level) ProofAge() (time.Duration, bool) { return l.keeper.ProofAge() }

// RecordProof implements egress.Freshness.
func (l *level) RecordProof(version uint64, at time.Time) { l.keeper.RecordProof(version, at) }
