package egress

import (
	"net/http"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/clock"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/hop"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/shares"
)

// contended reports whether requests compete for room.
func (h *Handler) contended() bool {
	return h.options.Contended != nil && h.options.Contended()
}

// shared reports whether the request counts against its tenant's share of the service's room.
func (c *call) countsAgainstShare() bool {
	return c.handler.options.MarkOverShare && c.tenant != nil && !c.nested && c.handler.contended()
}

// subject is whose share the request counts against.
func (c *call) subject() shares.Subject {
	return shares.Subject{Service: c.service, Tenant: c.tenant.Name, Priority: c.priority()}
}

// drawShare decides whether the request is above its tenant's share, once for all sends to a service.
func (c *call) sampleOverShare() {
	c.shareFraction, c.overShare = shares.Whole, false
	if !c.countsAgainstShare() {
		return
	}
	c.shareFraction = c.handler.tenantShares.Part(c.subject(), clock.Now())
	c.overShare = c.shareFraction < shares.Whole && c.handler.randomFloat() >= c.shareFraction
}

// tellPart tells the node beside the back end for which part of the tenant's requests this one stands.
func (c *call) setShareHeader(header http.Header) {
	if c.overShare {
		return
	}
	if shareFraction := shares.FormatPart(c.shareFraction); shareFraction != "" {
		header[hop.HeaderShare] = []string{shareFraction}
	}
}

// hearShare takes in what a reply tells of the tenant's share; replies to what no queue saw tell nothing.
func (c *call) observeShare(header http.Header) {
	if told := header.Get(hop.HeaderShare); told != "" && c.countsAgainstShare() {
		c.handler.tenantShares.Take(c.subject(), shares.ParseStanding(told), clock.Now())
	}
}
