package ingress

import (
	"net/http"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/clock"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/hop"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/shares"
)

// contended reports whether requests compete for capacity.
func (a *arrival) contended() bool {
	contended := a.handler.options.Contended
	return contended != nil && contended()
}

// tenant returns the tenant of the request from a header that only nodes set; empty without a
// tenant and while tenants have no shares.
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

// countOffered counts the request in the meter. Requests above their tenant's share are not
// counted; the others report how many they represent.
func (a *arrival) countOffered() {
	tenant := a.shareTenant()
	a.countedInShare = tenant != ""
	if a.countedInShare && !a.reported.OverShare {
		part := shares.ParseFraction(a.request.Header.Get(hop.HeaderShare))
		a.handler.meter.RecordArrival(a.reported.Priority, tenant, a.reported.ExpectedServiceTime, part, clock.Now())
	}
}

// countAdmitted counts in the meter that the request got a slot.
func (a *arrival) countAdmitted() {
	if a.countedInShare {
		a.handler.meter.RecordServed(a.reported.Priority, a.reported.ExpectedServiceTime, clock.Now())
	}
}

// setShareHeader reports the tenant's share of the capacity here to the caller's node. A request
// that was refused for another reason says nothing about the capacity.
func (a *arrival) setShareHeader(header http.Header) {
	if a.countedInShare {
		reported := a.handler.meter.Allocation(a.reported.Priority, a.shareTenant(), clock.Now())
		header[hop.HeaderShare] = []string{reported.Format()}
	}
}
