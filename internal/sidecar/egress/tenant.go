package egress

import (
	"errors"
	"net/http"

	"github.com/kestrelstream/kestrelstream/internal/proxy/outcome"
)

var errNoTenant = errors.New("no tenant has the caller's key")

// identify finds out whose key the caller has. A route without need of one serves all, and
// back ends are told of a tenant there too when there is one. No key is logged.
func (c *call) identify() *outcome.Failure {
	c.tenant = c.table.TenantByKey(c.request.Header.Get(c.handler.options.Vocabulary.APIKey))
	if c.tenant == nil && c.table.RequiresKey(c.route) {
		return outcome.Refusal(http.StatusUnauthorized, outcome.StepIdentify, 0, errNoTenant)
	}
	return nil
}

// setTenant replaces what the caller says of itself by what the node knows: the key goes no
// further, and whoever runs the request is told the name of its tenant.
func (c *call) setTenant(header http.Header) {
	names := &c.handler.options.Vocabulary
	delete(header, names.APIKey)
	delete(header, names.Tenant)
	if c.tenant != nil {
		header[names.Tenant] = []string{c.tenant.Name}
	}
}

// priority ranks the request; zero is the most urgent.
func (c *call) priority() int {
	if c.tenant != nil && c.tenant.Priority != nil {
		return *c.tenant.Priority
	}
	return c.route.Priority
}

// tenantName is for the log; empty without a tenant.
func (c *call) tenantName() string {
	if c.tenant == nil {
		return ""
	}
	return c.tenant.Name
}
