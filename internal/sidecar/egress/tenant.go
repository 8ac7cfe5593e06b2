package egress

import (
	"errors"
	"net/http"

	"github.com/kestrelstream/kestrelstream/internal/proxy/outcome"
)

var errNoTenant = errors.New("no tenant has the caller's key")

// identify sets the tenant that the caller's API key belongs to. Open routes serve callers without
// one; back ends learn the tenant there too if there is one. No key is logged.
func (c *call) identify() *outcome.Failure {
	c.tenant = c.table.TenantByKey(c.request.Header.Get(c.handler.options.Vocabulary.APIKey))
	if c.tenant == nil && c.table.RequiresKey(c.route) {
		return outcome.Refusal(http.StatusUnauthorized, outcome.StepIdentify, 0, errNoTenant)
	}
	return nil
}

// setTenant replaces the caller's headers by what the node has verified: the key is not forwarded,
// and the back end gets the name of the tenant.
func (c *call) setTenant(header http.Header) {
	names := &c.handler.options.Vocabulary
	delete(header, names.APIKey)
	delete(header, names.Tenant)
	if c.tenant != nil {
		header[names.Tenant] = []string{c.tenant.Name}
	}
}

// priority returns the request's priority; zero is the most urgent.
func (c *call) priority() int {
	if c.tenant != nil && c.tenant.Priority != nil {
		return *c.tenant.Priority
	}
	return c.route.Priority
}

// tenantName returns the tenant's name for the log; empty without a tenant.
func (c *call) tenantName() string {
	if c.tenant == nil {
		return ""
	}
	return c.tenant.Name
}
