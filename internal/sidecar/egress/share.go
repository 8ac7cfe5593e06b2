package egress

import (
	"net/http"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/clock"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/hop"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/shares"
)

// contended reports whether overload control is active.
func (h *Handler) contended() bool {
	return h.options.Contended != nil && h.options.Contended()
}

// countsAgainstShare reports whether the request counts against its tenant's share of the service's
// capacity.
func (c *call) countsAgainstShare() bool {
	return c.handler.options.MarkOverShare && c.tenant != nil && !c.nested && c.handler.contended()
}

// subject returns the service, tenant and priority whose share the request counts against.
func (c *call) subject() shares.Flow {
	return shares.Flow{Service: c.service, Tenant: c.tenant.Name, Priority: c.priority()}
}

// sampleOverShare decides whether the request is above its tenant's share, once for all attempts at
// a service.
func (c *call) sampleOverShare() {
	c.shareFraction, c.overShare = shares.FullFraction, false
	if !c.countsAgainstShare() {
		return
	}
	c.shareFraction = c.handler.tenantShares.Fraction(c.subject(), clock.Now())
	c.overShare = c.shareFraction < shares.FullFraction && c.handler.randomFloat() >= c.shareFraction
}

// setShareHeader reports to the sidecar of the back end the fraction of the tenant's requests that are
// within its share, which this request represents.
func (c *call) setShareHeader(header http.Header) {
	if c.overShare {
		return
	}
	if shareFraction := shares.FormatFraction(c.shareFraction); shareFraction != "" {
		header[hop.HeaderShare] = []string{shareFraction}
	}
}

// observeShare records the tenant's share that a response reports; responses to requests that never
// reached a queue report none.
func (c *call) observeShare(header http.Header) {
	if reported := header.Get(hop.HeaderShare); reported != "" && c.countsAgainstShare() {
		c.handler.tenantShares.Observe(c.subject(), shares.ParseAllocation(reported), clock.Now())
	}
}
