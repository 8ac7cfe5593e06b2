// Package route holds the configuration of a sidecar: the document that
// operators commit whole, its validation, and the immutable table that requests
// are matched against. The package is pure.
package route

import (
	"fmt"
	"strings"
	"time"
)

// Document is one version of the configuration, whole. It is immutable.
type Document struct {
	// Version rises with each commit; zero is no version.
	Version  uint64
	Routes   []Route
	Services []Service
	// Tenants are empty where callers need no key.
	Tenants []Tenant
	Limits  Limits
}

// Route sends requests of one host and path prefix to services.
type Route struct {
	Name string
	// Host is compared without port and without regard to case.
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	// Targets share the requests by weight; there is at least one.
	Targets []Target
	// Repeatable requests may be run more than once.
	Repeatable bool
	// Attempts is the most back ends one request may be sent to.
	Attempts int
	// Timeout is the longest time a request is held; zero means no bound.
	Timeout time.Duration
	// TargetLatency is the time within which an answer has its full worth.
	TargetLatency time.Duration
	// Priority ranks requests of one service; zero is the most urgent.
	Priority int
	// Open routes serve callers without a key.
	Open bool `json:",omitempty"`
	// AllowedRegions are those in which requests may be served; empty means all.
	AllowedRegions []string `json:",omitempty"`
}

// Target is one service of a route with its share.
type Target struct {
	Service string
	Weight  int
}

// Service is a declared service.
type Service struct {
	Name string
	// HealthPath is the path of the back ends' health check.
	HealthPath string
	// MaximumConnections bounds the connections to one back end from all
	// callers together.
	MaximumConnections int
	// WarmupTime is how long a back end stays cold after its start, WarmupRate how many
	// requests a second it bears meanwhile; zero where it bears any number.
	WarmupTime time.Duration `json:",omitempty"`
	WarmupRate float64       `json:",omitempty"`
}

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// FieldError names the field of a document that is refused, and why.
type FieldError struct {
	Field, Reason string
}

// Error names field and reason.
func (e *FieldError) Error() string { return fmt.Sprintf("%s: %s", e.Field, e.Reason) }

func fieldError(field, format string, arguments ...any) error {
	return &FieldError{Field: field, Reason: fmt.Sprintf(format, arguments...)}
}

// Validate returns a *FieldError for the first field that is not acceptable.
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
			return fieldError("services."+service.Name+".warmup", "a time or rate is below zero")
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
			return fieldError("routes."+route.Name+".pathPrefix", "host and prefix are those of route %s", owner)
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
		return fieldError(field+".targets", "no service has a weight")
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
