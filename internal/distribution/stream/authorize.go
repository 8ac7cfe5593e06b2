package stream

import (
	"net/http"

	"github.com/kestrelstream/kestrelstream/internal/distribution"
)

// PermissiveAuthorizer is the Authorizer for plain HTTP: it accepts what children
// claim without proof. It is meant for isolated machines and has to be enabled by
// an explicit setting.
type PermissiveAuthorizer struct{}

// Authorize returns the hello unchanged, except that its entitlement gets the
// zone of the node.
func (PermissiveAuthorizer) Authorize(_ *http.Request, hello distribution.Hello) (distribution.Hello, error) {
	hello.Entitlement.Zone = hello.Node.Zone
	return hello, nil
}

// AuthorizeReport accepts every report.
func (PermissiveAuthorizer) AuthorizeReport(*http.Request, distribution.Report) error { return nil }
