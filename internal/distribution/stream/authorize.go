package stream

import (
	"net/http"

	"github.com/kestrelstream/kestrelstream/internal/distribution"
)

// PermissiveAuthorizer is the Authorizer of plain HTTP: it believes what children
// claim. It is for machines that nobody else can reach, and is switched on by
// an explicit setting.
type PermissiveAuthorizer struct{}

// Authorize returns the hello as claimed; the zone of the entitlement is the
// node's.
func (PermissiveAuthorizer) Authorize(_ *http.Request, hello distribution.Hello) (distribution.Hello, error) {
	hello.Entitlement.Zone = hello.Node.Zone
	return hello, nil
}

// AuthorizeReport accepts every report.
func (PermissiveAuthorizer) AuthorizeReport(*http.Request, distribution.Report) error { return nil }
