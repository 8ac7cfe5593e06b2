package identity

import (
	"fmt"
	"slices"

	"github.com/kestrelstream/kestrelstream/internal/distribution"
	"github.com/kestrelstream/kestrelstream/internal/endpoint"
	"github.com/kestrelstream/kestrelstream/internal/projection"
)

// AdmitHello checks what a peer says on opening a stream against its
// certificate, and sets the entitlement from the certificate. A claim that
// differs is refused rather than corrected: it is a fault or an attack.
func AdmitHello(peer Identity, hello *distribution.Hello) error {
	if err := checkNode(peer, hello.Node); err != nil {
		return err
	}
	switch hello.Kind {
	case distribution.ChildProxy:
		if peer.Role != RoleProxy {
			return refusal(peer, "kind: role %s may not receive a proxy's view", peer.Role)
		}
		if len(hello.Readers) > 0 {
			return refusal(peer, "readers: role %s may not name store readers", peer.Role)
		}
		if err := checkEndpoints(peer, hello.Endpoints); err != nil {
			return err
		}
	case distribution.ChildControl:
		if peer.Role != RoleControl {
			return refusal(peer, "kind: role %s may not receive the whole configuration", peer.Role)
		}
		hello.Entitlement = projection.Entitlement{}
		return nil
	default:
		return refusal(peer, "kind: %q is not known", hello.Kind)
	}
	entitled := peer.Entitlement()
	if claimed := hello.Entitlement; claimed.Class() != entitled.Class() && claimed.Class() != (projection.Entitlement{}).Class() {
		return refusal(peer, "entitlement: asks for %q, its certificate grants %q", claimed.Class(), entitled.Class())
	}
	hello.Entitlement = entitled
	return nil
}

// AdmitReport checks what a peer reports against its certificate: a proxy
// speaks for itself and for endpoints of its own services in its own zone;
// only control daemons sum up others.
func AdmitReport(peer Identity, report *distribution.Report) error {
	if err := checkNode(peer, report.Node); err != nil {
		return err
	}
	if peer.Role == RoleControl {
		return nil
	}
	if len(report.Zones) > 0 {
		return refusal(peer, "zones: role %s may not report for others", peer.Role)
	}
	if report.Failure != nil && len(report.Failure.Reason) > maximumReasonBytes {
		return refusal(peer, "failure.reason: %d bytes, at most %d", len(report.Failure.Reason), maximumReasonBytes)
	}
	return checkEndpoints(peer, report.Endpoints)
}

// checkEndpoints lets a proxy speak only for endpoints of its own services in
// its own zone.
func checkEndpoints(peer Identity, updates []endpoint.Update) error {
	for index, update := range updates {
		if !slices.Contains(peer.Services, update.ID.Service) {
			return refusal(peer, "endpoints[%d].id.service: %q is not among its certificate's services", index, update.ID.Service)
		}
		if update.Zone != peer.Zone {
			return refusal(peer, "endpoints[%d].zone: %q, its certificate is for %q", index, update.Zone, peer.Zone)
		}
	}
	return nil
}

// maximumReasonBytes bounds what a child may have shown to operators.
const maximumReasonBytes = 4 << 10

func checkNode(peer Identity, node distribution.Node) error {
	if peer.Role != RoleProxy && peer.Role != RoleControl {
		return refusal(peer, "role %s is no node", peer.Role)
	}
	if node.Name != peer.Machine {
		return refusal(peer, "node.name: %q, its certificate is for %q", node.Name, peer.Machine)
	}
	if node.Zone != peer.Zone {
		return refusal(peer, "node.zone: %q, its certificate is for %q", node.Zone, peer.Zone)
	}
	return nil
}

func refusal(peer Identity, format string, arguments ...any) error {
	return &NotAllowedError{Peer: peer, Reason: fmt.Sprintf(format, arguments...)}
}

// MatchSettings checks that a node's settings agree with its certificate.
func (c *Credentials) MatchSettings(role Role, name, zone string, services []string) error {
	if c.Plain() {
		return nil
	}
	self := c.Self()
	if self.Role != role {
		return refusal(self, "certificate: is for role %s, this program is %s", self.Role, role)
	}
	if err := checkNode(self, distribution.Node{Name: name, Zone: zone}); err != nil {
		return err
	}
	wanted := slices.Compact(slices.Sorted(slices.Values(services)))
	if !slices.Equal(wanted, self.Services) {
		return refusal(self, "node.services: %v, the certificate is for %v", wanted, self.Services)
	}
	return nil
}
