package controller

import (
	"time"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/roster"
)

// maxAbsence is the time for which a back end whose node is being restarted counts as in use.
const maxAbsence = 30 * time.Second

// backEnd identifies a back end of a version.
type backEnd struct {
	service, version string
	incarnation      roster.Incarnation
}

// absences tracks back ends in use whose nodes are away: such a node is leaving, or has started again and
// does not know its back end yet. The controller's lock guards it.
type absences struct {
	// inUse holds the back ends in use by node; away holds, for nodes that do not accept work, since
	// when they have not.
	inUse map[string]backEnd
	away  map[string]time.Time
}

func newAbsences() absences {
	return absences{inUse: map[string]backEnd{}, away: map[string]time.Time{}}
}

// follow handles a changed record.
func (a *absences) follow(record *roster.Record, now time.Time) {
	endpoint := record.Endpoint
	if endpoint != nil && endpoint.State == roster.Ready && endpoint.Version != "" {
		a.inUse[record.Node] = backEnd{endpoint.Service, endpoint.Version, endpoint.Incarnation()}
	}
	known, found := a.inUse[record.Node]
	switch {
	case !found:
	case record.AcceptsWork():
		delete(a.away, record.Node)
	case hasLeft(record, known.incarnation):
		delete(a.inUse, record.Node)
		delete(a.away, record.Node)
	default:
		if _, absent := a.away[record.Node]; !absent {
			a.away[record.Node] = now
		}
	}
}

// hasLeft reports whether the back end itself is leaving or has ended, or is not that of the node.
func hasLeft(record *roster.Record, incarnation roster.Incarnation) bool {
	endpoint := record.Endpoint
	return record.HasEnded(incarnation) || endpoint != nil && (endpoint.State != roster.Ready || endpoint.Incarnation() != incarnation)
}

// count returns the number of absent back ends of a service that are of another version.
func (a *absences) count(service, version string, now time.Time) (absent int) {
	for node, since := range a.away {
		known := a.inUse[node]
		if known.service == service && known.version != version && now.Sub(since) < maxAbsence {
			absent++
		}
	}
	return absent
}
