// Package identity proves to one process of the system who another is, by
// mutual TLS of the standard library. A certificate's URI names the node's
// zone, machine and services; what a node is entitled to is read from there
// and never from what it asks for.
package identity

import (
	"crypto/x509"
	"fmt"
	"net/url"
	"regexp"
	"slices"
	"strings"

	"github.com/gravitational/trace"

	"github.com/kestrelstream/kestrelstream/internal/projection"
)

// Role says what the bearer of a certificate may do.
type Role string

// The roles.
const (
	// RoleProxy may receive the projection of its zone and services.
	RoleProxy Role = "proxy"
	// RoleControl is a control daemon; it may receive the whole configuration.
	RoleControl Role = "control"
	// RoleOperator may use the resource API.
	RoleOperator Role = "operator"
)

// The parts of an identity's URI:
//
//	kestrel://mesh/zone/<zone>/machine/<machine>?service=<a>&service=<b>
//	kestrel://mesh/zone/<zone>/machine/<machine>?role=control
//	kestrel://mesh/operator/<name>
const (
	uriScheme        = "kestrel"
	uriHost          = "mesh"
	zoneSegment      = "zone"
	machineSegment   = "machine"
	operatorSegment  = "operator"
	serviceParameter = "service"
	roleParameter    = "role"
)

// partPattern is what zones, machines, services and operators look like.
var partPattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.@-]{0,61}[a-z0-9])?$`)

// Identity is who the bearer of a certificate is.
type Identity struct {
	Role Role `json:"role"`
	// Zone and Machine name a node; Machine is unique in the mesh.
	Zone    string `json:"zone,omitempty"`
	Machine string `json:"machine,omitempty"`
	// Services are the identities a proxy acts for, sorted.
	Services []string `json:"services,omitempty"`
	// Operator names an operator.
	Operator string `json:"operator,omitempty"`
}

// Entitlement returns what a proxy may receive.
func (i Identity) Entitlement() projection.Entitlement {
	return projection.Entitlement{Zone: i.Zone, Services: slices.Clone(i.Services)}
}

// Name is the machine of a node and the name of an operator.
func (i Identity) Name() string {
	if i.Role == RoleOperator {
		return i.Operator
	}
	return i.Machine
}

// String returns the identity's URI.
func (i Identity) String() string { return i.uri().String() }

func (i Identity) uri() *url.URL {
	if i.Role == RoleOperator {
		return &url.URL{Scheme: uriScheme, Host: uriHost, Path: strings.Join([]string{"", operatorSegment, i.Operator}, "/")}
	}
	query := url.Values{}
	if i.Role == RoleControl {
		query.Set(roleParameter, string(RoleControl))
	}
	for _, service := range slices.Sorted(slices.Values(i.Services)) {
		query.Add(serviceParameter, service)
	}
	path := strings.Join([]string{"", zoneSegment, i.Zone, machineSegment, i.Machine}, "/")
	return &url.URL{Scheme: uriScheme, Host: uriHost, Path: path, RawQuery: query.Encode()}
}

// Check returns an error naming the first part that is missing or malformed.
func (i Identity) Check() error {
	if i.Role == RoleOperator {
		return checkPart(operatorSegment, i.Operator)
	}
	if i.Role != RoleProxy && i.Role != RoleControl {
		return trace.BadParameter("role: %q is not known", i.Role)
	}
	if err := checkPart(zoneSegment, i.Zone); err != nil {
		return err
	}
	if err := checkPart(machineSegment, i.Machine); err != nil {
		return err
	}
	if i.Role == RoleControl && len(i.Services) > 0 {
		return trace.BadParameter("service: a control daemon acts for no service")
	}
	for _, service := range i.Services {
		if err := checkPart(serviceParameter, service); err != nil {
			return err
		}
	}
	return nil
}

func checkPart(name, value string) error {
	if !partPattern.MatchString(value) {
		return trace.BadParameter("%s: %q must be 1 to 63 of a-z, 0-9, '.', '@' and '-'", name, value)
	}
	return nil
}

// Parse reads an identity's URI. Anything it does not know is an error, so
// that a newer kind of certificate is never mistaken for a known one.
func Parse(uri *url.URL) (Identity, error) {
	if uri.Scheme != uriScheme || uri.Host != uriHost {
		return Identity{}, trace.BadParameter("identity %q: must begin with %s://%s/", uri, uriScheme, uriHost)
	}
	if uri.User != nil || uri.Fragment != "" {
		return Identity{}, trace.BadParameter("identity %q: must have no user and no fragment", uri.Redacted())
	}
	segments := strings.Split(strings.TrimPrefix(uri.Path, "/"), "/")
	var parsed Identity
	var err error
	switch {
	case len(segments) == 2 && segments[0] == operatorSegment && uri.RawQuery == "":
		parsed = Identity{Role: RoleOperator, Operator: segments[1]}
	case len(segments) == 4 && segments[0] == zoneSegment && segments[2] == machineSegment:
		parsed, err = parseNode(segments[1], segments[3], uri.RawQuery)
	default:
		err = trace.BadParameter("the path is of no known form")
	}
	if err == nil {
		err = parsed.Check()
	}
	if err != nil {
		return Identity{}, trace.Wrap(err, "identity %q", uri)
	}
	return parsed, nil
}

func parseNode(zone, machine, rawQuery string) (Identity, error) {
	node := Identity{Role: RoleProxy, Zone: zone, Machine: machine}
	query, err := url.ParseQuery(rawQuery)
	if err != nil {
		return Identity{}, trace.BadParameter("the query cannot be read")
	}
	for name, values := range query {
		switch name {
		case serviceParameter:
			node.Services = slices.Compact(slices.Sorted(slices.Values(values)))
		case roleParameter:
			if len(values) != 1 || values[0] != string(RoleControl) {
				return Identity{}, trace.BadParameter("role: only %q may be named", RoleControl)
			}
			node.Role = RoleControl
		default:
			return Identity{}, trace.BadParameter("%s: unknown parameter", name)
		}
	}
	return node, nil
}

// FromCertificate reads the identity of a certificate. The certificate must
// name exactly one.
func FromCertificate(certificate *x509.Certificate) (Identity, error) {
	if len(certificate.URIs) != 1 {
		return Identity{}, trace.BadParameter("certificate %q: has %d URIs, must have one",
			certificate.Subject.CommonName, len(certificate.URIs))
	}
	return Parse(certificate.URIs[0])
}

// Accept returns nil for an identity that may go on.
type Accept func(Identity) error

// AcceptRoles accepts the named roles.
func AcceptRoles(roles ...Role) Accept {
	return func(peer Identity) error {
		if slices.Contains(roles, peer.Role) {
			return nil
		}
		return &NotAllowedError{Peer: peer, Reason: fmt.Sprintf("role %s may not do this; it takes one of %v", peer.Role, roles)}
	}
}

// NotAllowedError says that an authenticated peer asked for something it is
// not entitled to.
type NotAllowedError struct {
	Peer   Identity
	Reason string
}

// Error names the peer and the reason.
func (e *NotAllowedError) Error() string { return fmt.Sprintf("peer %s: %s", e.Peer, e.Reason) }
