package identity

import (
	"context"
	"crypto/x509"
	"encoding/json"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/kestrelstream/kestrelstream/internal/telemetry"
)

type contextKey struct{}

// authenticated is what a context carries.
type authenticated struct {
	peer    Identity
	expires time.Time
}

// Refusal is the body of a reply to a peer that may not do what it asked.
type Refusal struct {
	Error string `json:"error"`
}

// Authenticate lets requests of accepted peers through, with their identity
// in the request's context. The chain is verified again on each request,
// since connections outlive certificates and roots, and a request ends at the
// latest when the peer's certificate expires. With TLS off everything passes
// and carries no identity.
func (c *Credentials) Authenticate(accept Accept, next http.Handler) http.Handler {
	if c.Plain() {
		return next
	}
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		peer, expires, err := c.peer(request)
		if err == nil {
			err = accept(peer)
		}
		if err != nil {
			c.refuse(writer, request, err)
			return
		}
		ctx, cancel := context.WithDeadline(request.Context(), expires)
		defer cancel()
		running := &runningRequest{peer: peer, chain: request.TLS.PeerCertificates, end: cancel}
		c.began(running)
		defer c.ended(running)
		next.ServeHTTP(writer, request.WithContext(NewContext(ctx, peer, expires)))
	})
}

// runningRequest is an authenticated request that is being served.
type runningRequest struct {
	peer  Identity
	chain []*x509.Certificate
	// end ends the request's context.
	end context.CancelFunc
}

func (c *Credentials) began(running *runningRequest) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.running[running] = struct{}{}
}

func (c *Credentials) ended(running *runningRequest) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.running, running)
}

func (c *Credentials) peer(request *http.Request) (Identity, time.Time, error) {
	var chain []*x509.Certificate
	if request.TLS != nil {
		chain = request.TLS.PeerCertificates
	}
	peer, err := c.material.Load().verifyAgain(chain, x509.ExtKeyUsageClientAuth, time.Now())
	if err != nil {
		return Identity{}, time.Time{}, err
	}
	return peer, chain[0].NotAfter, nil
}

// CheckConnection verifies again the peer of the connection that a request
// came on. It is for paths on which Authenticate costs too much: while nothing
// changed it only looks the peer up.
func (c *Credentials) CheckConnection(request *http.Request) error {
	if c.Plain() {
		return nil
	}
	_, _, err := c.peer(request)
	if err != nil {
		c.metrics.refusals.Inc()
	}
	return err
}

func (c *Credentials) refuse(writer http.ResponseWriter, request *http.Request, err error) {
	c.metrics.refusals.Inc()
	c.logger.Warn("request refused", zap.String(telemetry.PeerField, request.RemoteAddr),
		zap.String("path", request.URL.Path), telemetry.Error(err))
	// The peer may have a newer certificate: have it connect anew.
	writer.Header().Set("Connection", "close")
	WriteRefusal(writer, err)
}

// WriteRefusal answers a request that its sender may not make.
func WriteRefusal(writer http.ResponseWriter, err error) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(http.StatusForbidden)
	_ = json.NewEncoder(writer).Encode(Refusal{Error: telemetry.ErrorText(err)})
}

// FromRequest returns who sent a request that passed Authenticate. It reports
// false when TLS is off.
func FromRequest(request *http.Request) (Identity, bool) { return FromContext(request.Context()) }

// FromContext returns who sent the request a context belongs to.
func FromContext(ctx context.Context) (Identity, bool) {
	found, present := ctx.Value(contextKey{}).(authenticated)
	return found.peer, present
}

// ExpiryFromRequest returns when the sender's certificate expires; the zero
// time when TLS is off.
func ExpiryFromRequest(request *http.Request) time.Time {
	found, _ := request.Context().Value(contextKey{}).(authenticated)
	return found.expires
}

// NewContext returns a context that carries an identity and when its
// certificate expires.
func NewContext(ctx context.Context, peer Identity, expires time.Time) context.Context {
	return context.WithValue(ctx, contextKey{}, authenticated{peer: peer, expires: expires})
}
