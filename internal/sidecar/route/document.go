// Package route holds the configuration of a sidecar: the document that operators commit as a
// whole, its validation, and the immutable table that matches requests to routes. The package is
// pure.
package route

import (
	"fmt"
	"strings"
	"time"
)

// Document is one complete version of the configuration. It is immutable.
type Document struct {
	// Version increases with each commit; zero means no version.
	Version  uint64
	Routes   []Route
	Services []Service
	// Tenants is empty when callers need no key.
	Tenants []Tenant
	Limits  Limits
}

// Route sends requests for one host and path prefix to services.
type Route struct {
	Name string
	// Host is compared case-insensitively and without the port.
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	// Targets split the requests by weight; there is at least one.
	Targets []Target
	// Repeatable requests may be executed more than once.
	Repeatable bool
	// Attempts is the maximum number of back ends that one request is sent to.
	Attempts int
	// Timeout bounds the time for which a request is held; zero means no bound.
	Timeout time.Duration
	// TargetLatency is the time within which an answer has its full value.
	TargetLatency time.Duration
	// Priority ranks requests of one service; zero is the most urgent.
	Priority int
	// Open routes accept callers without a key.
	Open bool `json:",omitempty"`
	// AllowedRegions are the regions in which requests may be served; empty means all.
	AllowedRegions []string `json:",omitempty"`
}

// Target is one service of a route and its weight.
type Target struct {
	Service string
	Weight  int
}

// Service is a service that routes may target.
type Service struct {
	Name string
	// HealthPath is the path of the back ends' health check.
	HealthPath string
	// MaximumConnections bounds the connections to one back end from all callers together.
	MaximumConnections int
	// WarmupTime is the time for which a back end stays cold after its start, WarmupRate the
	// request rate per second that it accepts meanwhile; zero means any rate.
	WarmupTime time.Duration `json:",omitempty"`
	WarmupRate float64       `json:",omitempty"`
}

// Limits bound the size of a caller's requests and the time that they may take.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// FieldError names an invalid field of a document and the reason.
type FieldError struct {
	Field, Reason string
}

// Error returns the field and the reason.
func (e *FieldError) Error() string { return fmt.Sprintf("%s: %s", e.Field, e.Reason) }

func fieldError(field, format string, arguments ...any) error {
	return &FieldError{Field: field, Reason: fmt.Sprintf(format, arguments...)}
}

// Validate returns a *FieldError for the first invalid field.
func (d *Document) Validate() error {
	if d.Version == 0 {
		return fieldError("version", "must be above zero")
	}
	declared := make(map[string]bool, len(d.Services))
	for _, service := range d.Services {
		if service.Name == "" {
			return fieldError("services", "a service has no name")
		}
		if service.WarmupTime < 0 || !(service.WarmupRate >= 0) {
			return fieldError("services."+service.Name+".warmup", "a time or rate is negative")
		}
		declared[service.Name] = true
	}
	if err := validateTenants(d.Tenants); err != nil {
		return err
	}
	owners := make(map[string]string, len(d.Routes))
	for index := range d.Routes {
		route := &d.Routes[index]
		if err := route.validate(declared); err != nil {
			return err
		}
		key := normalizeHost(route.Host) + route.PathPrefix
		if owner, taken := owners[key]; taken {
			return fieldError("routes."+route.Name+".pathPrefix", "host and path prefix are already used by route %s", owner)
		}
		owners[key] = route.Name
	}
	return d.Limits.validate()
}

func (r *Route) validate(declared map[string]bool) error {
	field := "routes." + r.Name
	switch {
	case r.Name == "":
		return fieldError("routes", "a route has no name")
	case r.Host == "":
		return fieldError(field+".host", "is empty")
	case !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/"):
		return fieldError(field+".pathPrefix", "%q does not begin and end with a slash", r.PathPrefix)
	case r.Attempts < 1:
		return fieldError(field+".attempts", "%d is below one", r.Attempts)
	case r.Timeout < 0:
		return fieldError(field+".timeout", "%s is below zero", r.Timeout)
	case r.TargetLatency < 0:
		return fieldError(field+".targetLatency", "%s is below zero", r.TargetLatency)
	case r.Priority < 0:
		return fieldError(field+".priority", "%d is below zero", r.Priority)
	}
	return r.validateTargets(field, declared)
}

func (r *Route) validateTargets(field string, declared map[string]bool) error {
	total := 0
	for _, target := range r.Targets {
		if !declared[target.Service] {
			return fieldError(field+".targets", "service %q is not declared", target.Service)
		}
		if target.Weight < 0 {
			return fieldError(field+".targets", "the weight of service %q is below zero", target.Service)
		}
		total += target.Weight
	}
	if total == 0 {
		return fieldError(field+".targets", "no service has a positive weight")
	}
	return nil
}

func (l *Limits) validate() error {
	switch {
	case l.HeaderBytes < 0:
		return fieldError("limits.headerBytes", "%d is below zero", l.HeaderBytes)
	case l.BodyBytes < 0:
		return fieldError("limits.bodyBytes", "%d is below zero", l.BodyBytes)
	case l.HeaderTimeout < 0:
		return fieldError("limits.headerTimeout", "%s is below zero", l.HeaderTimeout)
	case l.IdleTimeout < 0:
		return fieldError("limits.idleTimeout", "%s is below zero", l.IdleTimeout)
	}
	return nil
}
