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
func (c *call) shared() bool {
	return c.handler.options.MarkOverShare && c.tenant != nil && !c.nested && c.handler.contended()
}

// subject is whose share the request counts against.
func (c *call) subject() shares.Subject {
	return shares.Subject{Service: c.service, Tenant: c.tenant.Name, Priority: c.priority()}
}

// drawShare decides whether the request is above its tenant's share, once for all sends to a service.
func (c *call) drawShare() {
	c.part, c.overShare = shares.Whole, false
	if !c.shared() {
		return
	}
	c.part = c.handler.heard.Part(c.subject(), clock.Now())
	c.overShare = c.part < shares.Whole && c.handler.draw() >= c.part
}

// tellPart tells the node beside the back end for which part of the tenant's requests this one stands.
func (c *call) tellPart(header http.Header) {
	if c.overShare {
		return
	}
	if part := shares.FormatPart(c.part); part != "" {
		header[hop.HeaderShare] = []string{part}
	}
}

// hearShare takes in what a reply tells of the tenant's share; replies to what no queue saw tell nothing.
func (c *call) hearShare(header http.Header) {
	if told := header.Get(hop.HeaderShare); told != "" && c.shared() {
		c.handler.heard.Take(c.subject(), shares.ParseStanding(told), clock.Now())
	}
}
