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

// shared returns the tenant against whose share the request counts, empty for none.
func (a *arrival) shared() string {
	if a.told.Nested || !a.handler.options.ReportShares {
		return ""
	}
	return a.tenant()
}

// offered has the meter count the request. Those above their tenant's share are counted by the others,
// which tell for how many they stand.
func (a *arrival) offered() {
	tenant := a.shared()
	a.counted = tenant != ""
	if a.counted && !a.told.OverShare {
		part := shares.ParsePart(a.request.Header.Get(hop.HeaderShare))
		a.handler.meter.Came(a.told.Priority, tenant, a.told.ExpectedServiceTime, part, clock.Now())
	}
}

// admitted has the meter count that the request has a slot.
func (a *arrival) admitted() {
	if a.counted {
		a.handler.meter.Served(a.told.Priority, a.told.ExpectedServiceTime, clock.Now())
	}
}

// tellShare tells the caller's node what the tenant may have of the room here. A request that was refused
// for another reason says nothing of the room.
func (a *arrival) tellShare(header http.Header) {
	if a.counted {
		told := a.handler.meter.Standing(a.told.Priority, a.shared(), clock.Now())
		header[hop.HeaderShare] = []string{told.Format()}
	}
}
