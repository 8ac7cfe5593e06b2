package resource

import (
	"fmt"
	"net/http"
	"net/netip"
	"regexp"
	"slices"
	"strings"
	"time"

	"golang.org/x/net/http/httpguts"
)

// Limits of the fields of resources.
const (
	MaximumNameLength    = 63
	MaximumLabels        = 32
	MaximumLabelLength   = 128
	MaximumEndpoints     = 2000
	MaximumSlots         = 100_000
	MaximumConnections   = 1_000_000
	MaximumQueue         = 100_000
	MaximumDeadline      = 10 * time.Minute
	MaximumAttempts      = 10
	MaximumBudgetPercent = 100
	MaximumHostLength    = 253
	MaximumPathLength    = 1024
	MaximumConsumers     = 256
	MaximumSecretLength  = 16 * 1024
	MaximumRules         = 256
	MaximumZones         = 64
)

var (
	namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]*[a-z0-9])?$`)
	hostPattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]*[a-z0-9])?(\.[a-z0-9]([a-z0-9-]*[a-z0-9])?)*$`)
	pathPattern = regexp.MustCompile(`^/[A-Za-z0-9\-._~!$&'()*+,;=:@/]*$`)
)

const nameRule = "must be 1 to 63 of a-z, 0-9, '-' and '.', beginning and ending with a letter or digit"

// Validate checks a resource by itself, without regard to others, and returns
// every fault.
func Validate(index int, r *Resource) []FieldError {
	found := &problems{index: index, key: Key{Kind: r.Kind, Name: shorten(r.Metadata.Name)}}
	found.checkName("metadata.name", r.Metadata.Name)
	found.checkLabels("metadata.labels", r.Metadata.Labels)
	if !r.hasOnlyOwnSpec() {
		found.addf("kind", "must be one of Secret, Service, Placement, Route, with a spec of that kind")
		return found.fields
	}
	switch r.Kind {
	case KindService:
		found.checkService(r.Service)
	case KindRoute:
		found.checkRoute(r.Route)
	case KindSecret:
		found.checkSecret(r.Secret)
	case KindPlacement:
		found.checkPlacement(r.Placement)
	}
	return found.fields
}

// hasOnlyOwnSpec reports whether the spec of the resource's kind is set and no
// other.
func (r *Resource) hasOnlyOwnSpec() bool {
	has := map[Kind]bool{
		KindService: r.Service != nil, KindRoute: r.Route != nil,
		KindSecret: r.Secret != nil, KindPlacement: r.Placement != nil,
	}
	for kind, set := range has {
		if set != (kind == r.Kind) {
			return false
		}
	}
	return has[r.Kind]
}

func (p *problems) checkName(path, name string) {
	if len(name) > MaximumNameLength || !namePattern.MatchString(name) {
		p.addf(path, nameRule)
	}
}

func (p *problems) checkRange(path string, value, lowest, highest int) {
	if value < lowest || value > highest {
		p.addf(path, "must be between %d and %d", lowest, highest)
	}
}

func (p *problems) checkLabels(path string, labels map[string]string) {
	if len(labels) > MaximumLabels {
		p.addf(path, "must be at most %d labels", MaximumLabels)
	}
	for name, value := range labels {
		if name == "" || len(name) > MaximumLabelLength || len(value) > MaximumLabelLength {
			p.addf(path, "label names must be 1 to %d bytes and values at most as long", MaximumLabelLength)
		}
	}
}

func (p *problems) checkService(spec *ServiceSpec) {
	p.checkEndpoints(spec)
	p.checkRange("spec.slots", spec.Slots, 1, MaximumSlots)
	p.checkRange("spec.connections", spec.Connections, 1, MaximumConnections)
	p.checkRange("spec.queue", spec.Queue, 0, MaximumQueue)
	if spec.Deadline <= 0 || time.Duration(spec.Deadline) > MaximumDeadline {
		p.addf("spec.deadline", "must be more than 0s and at most %s", MaximumDeadline)
	}
	p.checkRange("spec.retry.attempts", spec.Retry.Attempts, 0, MaximumAttempts)
	p.checkRange("spec.retry.budgetPercent", spec.Retry.BudgetPercent, 0, MaximumBudgetPercent)
	if spec.ShedMarker != nil {
		p.checkShedMarker(spec.ShedMarker)
	}
}

func (p *problems) checkEndpoints(spec *ServiceSpec) {
	if spec.Selector != nil {
		if len(spec.Endpoints) > 0 {
			p.addf("spec.selector", "must not be set together with spec.endpoints")
		}
		if len(spec.Selector.Labels) == 0 {
			p.addf("spec.selector.labels", "must name at least one label")
		}
		p.checkLabels("spec.selector.labels", spec.Selector.Labels)
		return
	}
	if len(spec.Endpoints) == 0 {
		p.addf("spec.endpoints", "must list at least one endpoint unless spec.selector is set")
	}
	if len(spec.Endpoints) > MaximumEndpoints {
		p.addf("spec.endpoints", "must be at most %d endpoints", MaximumEndpoints)
	}
	names, addresses := map[string]bool{}, map[string]bool{}
	for position, endpoint := range spec.Endpoints {
		path := fmt.Sprintf("spec.endpoints[%d]", position)
		p.checkName(path+".name", endpoint.Name)
		p.checkName(path+".zone", endpoint.Zone)
		p.checkAddress(path+".address", endpoint.Address)
		p.checkUnique(path+".name", names, endpoint.Name)
		p.checkUnique(path+".address", addresses, endpoint.Address)
	}
}

func (p *problems) checkAddress(path, address string) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil || parsed.Port() == 0 || parsed.Addr().IsUnspecified() {
		p.addf(path, "must be an IP address and port such as 10.0.0.7:9000")
	}
}

func (p *problems) checkUnique(path string, seen map[string]bool, value string) {
	if seen[value] {
		p.addf(path, "stands twice in the list")
	}
	seen[value] = true
}

func (p *problems) checkShedMarker(marker *ShedMarker) {
	p.checkRange("spec.shedMarker.status", marker.Status, 400, 599)
	switch {
	case marker.Header != "" && !httpguts.ValidHeaderFieldName(marker.Header):
		p.addf("spec.shedMarker.header", "must be a valid header name")
	case strings.HasPrefix(http.CanonicalHeaderKey(marker.Header), meshHeaderPrefix):
		p.addf("spec.shedMarker.header", "must not be a header of the mesh, which are stripped from back ends' replies")
	}
	if marker.Value != "" && marker.Header == "" {
		p.addf("spec.shedMarker.value", "needs spec.shedMarker.header")
	}
}

func (p *problems) checkRoute(spec *RouteSpec) {
	if spec.Host != AnyHost && (len(spec.Host) > MaximumHostLength || !hostPattern.MatchString(spec.Host)) {
		p.addf("spec.host", "must be a host name in lower case without a port, or \"*\" for any host")
	}
	p.checkPathPrefix(spec.PathPrefix)
	p.checkMethods("spec.methods", spec.Methods)
	p.checkMethods("spec.repeatableMethods", spec.RepeatableMethods)
	for position, method := range spec.RepeatableMethods {
		if len(spec.Methods) > 0 && !slices.Contains(spec.Methods, method) {
			p.addf(fmt.Sprintf("spec.repeatableMethods[%d]", position), "must be one of spec.methods")
		}
	}
	p.checkName("spec.service", spec.Service)
	if spec.Secret != "" {
		p.checkName("spec.secret", spec.Secret)
	}
	p.checkConsumers(spec.Consumers)
	if spec.MaximumInFlight < 0 {
		p.addf("spec.maximumInFlight", "must not be negative")
	}
}

func (p *problems) checkPathPrefix(prefix string) {
	switch {
	case len(prefix) > MaximumPathLength || !pathPattern.MatchString(prefix):
		p.addf("spec.pathPrefix", "must begin with '/' and hold only unescaped path characters, at most %d", MaximumPathLength)
	case strings.Contains(prefix, "//") || slices.ContainsFunc(strings.Split(prefix, "/"), isDotSegment):
		p.addf("spec.pathPrefix", "must not hold empty, '.' or '..' segments")
	}
}

func isDotSegment(segment string) bool { return segment == "." || segment == ".." }

// routableMethods are the methods a route may name. CONNECT would open a
// tunnel around the mesh and TRACE would echo an attached credential.
var routableMethods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
	http.MethodPatch, http.MethodDelete, http.MethodOptions,
}

func (p *problems) checkMethods(path string, methods []string) {
	seen := map[string]bool{}
	for position, method := range methods {
		itemPath := fmt.Sprintf("%s[%d]", path, position)
		if !slices.Contains(routableMethods, method) {
			p.addf(itemPath, "must be one of %s", strings.Join(routableMethods, ", "))
		}
		p.checkUnique(itemPath, seen, method)
	}
}

func (p *problems) checkConsumers(consumers []string) {
	if len(consumers) == 0 || len(consumers) > MaximumConsumers {
		p.addf("spec.consumers", "must list 1 to %d consumers; \"*\" admits all", MaximumConsumers)
	}
	seen := map[string]bool{}
	for position, consumer := range consumers {
		itemPath := fmt.Sprintf("spec.consumers[%d]", position)
		if consumer != AnyConsumer {
			p.checkName(itemPath, consumer)
		}
		p.checkUnique(itemPath, seen, consumer)
	}
}

// meshHeaderPrefix begins the names of the mesh's own headers.
const meshHeaderPrefix = "Kestrel-"

// reservedHeaders may not carry a credential: they belong to one connection,
// to the framing of a message, or change how HTTP clients repeat requests.
var reservedHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Host": true, "Content-Length": true, "Content-Type": true, "Content-Encoding": true, "Expect": true,
	"Idempotency-Key": true, "X-Idempotency-Key": true,
}

func (p *problems) checkSecret(spec *SecretSpec) {
	canonical := http.CanonicalHeaderKey(spec.Header)
	switch {
	case !httpguts.ValidHeaderFieldName(spec.Header):
		p.addf("spec.header", "must be a valid header name")
	case reservedHeaders[canonical], strings.HasPrefix(canonical, meshHeaderPrefix):
		p.addf("spec.header", "must not be a header of the connection, of message framing or of the mesh")
	}
	switch {
	case spec.Value == MaskedValue:
		p.addf("spec.value", "is the mask that reads show in place of the credential; give the credential itself")
	case spec.Value == "" || len(spec.Value) > MaximumSecretLength:
		p.addf("spec.value", "must be 1 to %d bytes", MaximumSecretLength)
	case !httpguts.ValidHeaderFieldValue(spec.Value):
		p.addf("spec.value", "must hold only characters that a header value may hold")
	}
}

func (p *problems) checkPlacement(spec *PlacementSpec) {
	p.checkName("spec.service", spec.Service)
	if len(spec.Rules) == 0 || len(spec.Rules) > MaximumRules {
		p.addf("spec.rules", "must list 1 to %d rules", MaximumRules)
	}
	for position, rule := range spec.Rules {
		path := fmt.Sprintf("spec.rules[%d]", position)
		p.checkZones(path+".callerZones", rule.CallerZones)
		p.checkZones(path+".backendZones", rule.BackendZones)
	}
}

func (p *problems) checkZones(path string, zones []string) {
	if len(zones) == 0 || len(zones) > MaximumZones {
		p.addf(path, "must list 1 to %d zones", MaximumZones)
	}
	seen := map[string]bool{}
	for position, zone := range zones {
		itemPath := fmt.Sprintf("%s[%d]", path, position)
		p.checkName(itemPath, zone)
		p.checkUnique(itemPath, seen, zone)
	}
}
