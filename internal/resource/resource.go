// Package resource defines the kinds operators declare, the batches that
// change them and the immutable state they add up to. The package is pure: it
// holds no clock, socket, goroutine or random source.
package resource

import (
	"encoding/json"
	"fmt"
	"time"
)

// APIVersion is the only value accepted in a resource's apiVersion field.
const APIVersion = "kestrelstream/v1"

// Kind names a type of resource.
type Kind string

// The kinds of resource.
const (
	KindService   Kind = "Service"
	KindRoute     Kind = "Route"
	KindSecret    Kind = "Secret"
	KindPlacement Kind = "Placement"
)

// Kinds lists every kind in the order in which they are shown and applied.
var Kinds = []Kind{KindSecret, KindService, KindPlacement, KindRoute}

// Key identifies a resource. Names are unique within a kind.
type Key struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
}

// String renders the key as kind/name.
func (key Key) String() string { return string(key.Kind) + "/" + key.Name }

// Metadata identifies a resource and says which version last changed it.
type Metadata struct {
	Name   string            `json:"name"`
	Labels map[string]string `json:"labels,omitempty"`
	// ResourceVersion is the log version that last changed this resource.
	// It is set by the system; in a request it is a precondition.
	ResourceVersion uint64 `json:"resourceVersion,omitempty"`
	// CreatedVersion is the log version that created this resource.
	CreatedVersion uint64 `json:"createdVersion,omitempty"`
}

// Resource is one declared object: exactly one of the spec pointers is set,
// the one its kind names. A Resource reachable from a State is never modified.
type Resource struct {
	Kind      Kind
	Metadata  Metadata
	Service   *ServiceSpec
	Route     *RouteSpec
	Secret    *SecretSpec
	Placement *PlacementSpec
}

// Key returns the resource's identity.
func (r *Resource) Key() Key { return Key{Kind: r.Kind, Name: r.Metadata.Name} }

// ServiceSpec declares a service and the limits of each of its endpoints.
type ServiceSpec struct {
	// Endpoints lists endpoints by address. Either this or Selector is set.
	Endpoints []Endpoint `json:"endpoints,omitempty"`
	// Selector admits endpoints announced by the proxies beside them.
	Selector *EndpointSelector `json:"selector,omitempty"`
	// Slots is how many requests one endpoint runs at once.
	Slots int `json:"slots"`
	// Connections is how many connections one endpoint accepts.
	Connections int `json:"connections"`
	// Queue is how many requests may wait for a slot at one endpoint.
	Queue int `json:"queue,omitempty"`
	// Deadline bounds a request from its arrival at the caller's proxy.
	Deadline Duration `json:"deadline"`
	// Retry bounds repeated attempts.
	Retry RetryPolicy `json:"retry,omitzero"`
	// ShedMarker says which replies of the back end mean "not run".
	ShedMarker *ShedMarker `json:"shedMarker,omitempty"`
}

// Endpoint is one back end as callers' proxies reach it: the address is the
// inbound listener of the proxy beside the back end.
type Endpoint struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
}

// EndpointSelector admits announced endpoints that bear all these labels.
type EndpointSelector struct {
	Labels map[string]string `json:"labels"`
}

// RetryPolicy bounds the attempts of one request and the share of a service's
// traffic that may be repeated attempts.
type RetryPolicy struct {
	// Attempts is the most attempts of one request, the first included.
	Attempts int `json:"attempts,omitempty"`
	// BudgetPercent is the most repeated attempts per hundred first ones.
	BudgetPercent int `json:"budgetPercent,omitempty"`
}

// ShedMarker identifies a reply by which the back end says that it did not
// run the request.
type ShedMarker struct {
	Status int    `json:"status"`
	Header string `json:"header,omitempty"`
	Value  string `json:"value,omitempty"`
}

// RouteSpec maps requests to a service.
type RouteSpec struct {
	Host       string   `json:"host"`
	PathPrefix string   `json:"pathPrefix"`
	Methods    []string `json:"methods,omitempty"`
	Service    string   `json:"service"`
	// Secret names the credential attached toward the back end.
	Secret string `json:"secret,omitempty"`
	// RepeatableMethods may be attempted again after an unknown outcome.
	// Without it GET, HEAD and OPTIONS may; POST and PATCH only when listed.
	RepeatableMethods []string `json:"repeatableMethods,omitempty"`
	// Consumers lists the identities that may use the route; AnyConsumer
	// admits all.
	Consumers []string `json:"consumers"`
	// MaximumInFlight bounds the route's requests in flight at one proxy;
	// zero means no bound beyond the service's own.
	MaximumInFlight int `json:"maximumInFlight,omitempty"`
}

// AnyHost in a route's host admits every host that no other route names.
const AnyHost = "*"

// AnyConsumer in a route's consumers admits every identity.
const AnyConsumer = "*"

// SecretSpec is a credential attached to requests toward the back end. The
// value is write-only for operators.
type SecretSpec struct {
	// Header is the request header that carries the credential.
	Header string `json:"header"`
	// Value is the credential; it may be sealed while at rest.
	Value string `json:"value"`
}

// PlacementSpec says which back-end zones may serve callers of which zones.
// Without a placement a service is served to callers of its own zone only.
type PlacementSpec struct {
	Service string          `json:"service"`
	Rules   []PlacementRule `json:"rules"`
}

// PlacementRule allows callers in CallerZones to use endpoints in
// BackendZones.
type PlacementRule struct {
	CallerZones  []string `json:"callerZones"`
	BackendZones []string `json:"backendZones"`
}

// Duration is a time.Duration written as a string such as "250ms".
type Duration time.Duration

// String renders the duration in Go's notation.
func (d Duration) String() string { return time.Duration(d).String() }

// MarshalJSON writes the duration in Go's notation.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON reads Go's duration notation.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return fmt.Errorf("duration must be a string such as \"250ms\"")
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return fmt.Errorf("duration %q is not of the form \"250ms\" or \"2s\"", text)
	}
	*d = Duration(parsed)
	return nil
}

type wireResource struct {
	APIVersion string          `json:"apiVersion"`
	Kind       Kind            `json:"kind"`
	Metadata   Metadata        `json:"metadata"`
	Spec       json.RawMessage `json:"spec"`
}

// spec returns the pointer the kind names, or nil for an unknown kind.
func (r *Resource) spec() any {
	switch r.Kind {
	case KindService:
		return r.Service
	case KindRoute:
		return r.Route
	case KindSecret:
		return r.Secret
	case KindPlacement:
		return r.Placement
	default:
		return nil
	}
}

// allocateSpec sets an empty spec for the kind and returns it, or nil for an
// unknown kind.
func (r *Resource) allocateSpec() any {
	switch r.Kind {
	case KindService:
		r.Service = &ServiceSpec{}
	case KindRoute:
		r.Route = &RouteSpec{}
	case KindSecret:
		r.Secret = &SecretSpec{}
	case KindPlacement:
		r.Placement = &PlacementSpec{}
	default:
		return nil
	}
	return r.spec()
}

// MarshalJSON writes the resource in its operator-facing form. Secret values
// are written: callers that show resources to operators redact first.
func (r Resource) MarshalJSON() ([]byte, error) {
	spec, err := json.Marshal(r.spec())
	if err != nil {
		return nil, err
	}
	return json.Marshal(wireResource{APIVersion: APIVersion, Kind: r.Kind, Metadata: r.Metadata, Spec: spec})
}

// UnmarshalJSON reads the form MarshalJSON writes. It is lenient about unknown
// fields so that a newer peer can be understood; operators' input goes through
// the strict decoder instead.
func (r *Resource) UnmarshalJSON(data []byte) error {
	var wire wireResource
	if err := json.Unmarshal(data, &wire); err != nil {
		return err
	}
	decoded := Resource{Kind: wire.Kind, Metadata: wire.Metadata}
	spec := decoded.allocateSpec()
	if spec == nil {
		return fmt.Errorf("unknown kind %q", wire.Kind)
	}
	if err := json.Unmarshal(wire.Spec, spec); err != nil {
		return err
	}
	*r = decoded
	return nil
}
