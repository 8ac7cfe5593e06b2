package stream

import (
	"net/http"

	"github.com/kestrelstream/kestrelstream/internal/distribution"
	"github.com/kestrelstream/kestrelstream/internal/identity"
)

// CertificateAuthorizer is the Authorizer for mutual TLS: a child's certificate
// determines what it may receive and report. Requests must have passed
// identity.Credentials.Authenticate.
type CertificateAuthorizer struct{}

// Authorize returns the hello with the entitlement of the child's certificate.
// It refuses a hello that claims more than the certificate allows.
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

// AuthorizeReport refuses a report that claims more than the child's certificate
// allows.
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
