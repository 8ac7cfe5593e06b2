package ingress

import (
	"net/http"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/clock"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/hop"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/shares"
)

// contended reports whether requests compete for room.
func (a *arrival) contended() bool {
	contended := a.handler.options.Contended
	return contended != nil && contended()
}

// tenant names whose request it is, by the header that nodes alone set; empty without a tenant, and
// where tenants have no shares.
func (a *arrival) tenant() string {
	if !a.contended() {
		return ""
	}
	return a.request.Header.Get(a.handler.options.Vocabulary.Tenant)
}

// shareTenant returns the tenant against whose share the request counts, empty for none.
func (a *arrival) shareTenant() string {
	if a.reported.Nested || !a.handler.options.ReportShares {
		return ""
	}
	return a.tenant()
}

// countOffered has the meter count the request. Those above their tenant's share are counted by the others,
// which tell for how many they stand.
func (a *arrival) countOffered() {
	tenant := a.shareTenant()
	a.countedInShare = tenant != ""
	if a.countedInShare && !a.reported.OverShare {
		part := shares.ParsePart(a.request.Header.Get(hop.HeaderShare))
		a.handler.meter.Came(a.reported.Priority, tenant, a.reported.ExpectedServiceTime, part, clock.Now())
	}
}

// countAdmitted has the meter count that the request has a slot.
func (a *arrival) countAdmitted() {
	if a.countedInShare {
		a.handler.meter.Served(a.reported.Priority, a.reported.ExpectedServiceTime, clock.Now())
	}
}

// setShareHeader tells the caller's node what the tenant may have of the room here. A request that was refused
// for another reason says nothing of the room.
func (a *arrival) setShareHeader(header http.Header) {
	if a.countedInShare {
		reported := a.handler.meter.Standing(a.reported.Priority, a.shareTenant(), clock.Now())
		header[hop.HeaderShare] = []string{reported.Format()}
	}
}
