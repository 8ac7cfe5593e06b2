package stream

import (
	"net/http"

	"github.com/kestrelstream/kestrelstream/internal/distribution"
	"github.com/kestrelstream/kestrelstream/internal/identity"
)

// CertificateAuthorizer is the Authorizer of mutual TLS: what a child may receive and
// report comes from its certificate. Its requests have passed
// identity.Credentials.Authenticate.
type CertificateAuthorizer struct{}

// Authorize returns the hello with the entitlement of the child's certificate.
// A claim that goes beyond the certificate is refused.
func (CertificateAuthorizer) Authorize(request *http.Request, hello distribution.Hello) (distribution.Hello, error) {
	peer, found := identity.FromRequest(request)
	if !found {
		return hello, forbidden("the request carries no identity")
	}
	if err := identity.AdmitHello(peer, &hello); err != nil {
		return hello, forbidden(err.Error())
	}
	hello.CertificateExpires = identity.ExpiryFromRequest(request)
	return hello, nil
}

// AuthorizeReport refuses a report that goes beyond the child's certificate.
func (CertificateAuthorizer) AuthorizeReport(request *http.Request, report distribution.Report) error {
	peer, found := identity.FromRequest(request)
	if !found {
		return forbidden("the request carries no identity")
	}
	if err := identity.AdmitReport(peer, &report); err != nil {
		return forbidden(err.Error())
	}
	return nil
}

func forbidden(reason string) error {
	return &RefusedError{Status: http.StatusForbidden, Reason: reason}
}
