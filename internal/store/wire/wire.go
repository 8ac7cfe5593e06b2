// Package wire is the HTTP+JSON form of the store port: paths, bodies and error
// codes. The stand-in serves it and package httpclient speaks it. Every request
// is a POST, which HTTP clients do not resend by themselves.
package wire

import (
	"errors"
	"net/http"
	"time"

	"github.com/kestrelstream/kestrelstream/internal/store"
)

// Paths of the operations.
const (
	PathGet       = "/v1/keys/get"
	PathRange     = "/v1/keys/range"
	PathSwap      = "/v1/keys/swap"
	PathWatch     = "/v1/keys/watch"
	PathGrant     = "/v1/leases/grant"
	PathKeepAlive = "/v1/leases/keepalive"
	PathRevoke    = "/v1/leases/revoke"
)

// GetRequest is the body of PathGet; the answer is a store.KeyValue.
type GetRequest struct {
	Key string `json:"key"`
}

// RangeRequest is the body of PathRange.
type RangeRequest struct {
	Prefix string `json:"prefix"`
	From   string `json:"from,omitempty"`
	Limit  int    `json:"limit,omitempty"`
}

// RangeResponse is the answer of PathRange.
type RangeResponse struct {
	KeyValues []store.KeyValue `json:"keyValues"`
	Revision  uint64           `json:"revision"`
}

// SwapResponse is the answer of PathSwap, whose body is a store.Swap.
type SwapResponse struct {
	Revision uint64 `json:"revision"`
}

// WatchRequest is the body of PathWatch. The answer is a line of JSON, a
// WatchLine, for each event.
type WatchRequest struct {
	Prefix        string `json:"prefix"`
	AfterRevision uint64 `json:"afterRevision"`
}

// WatchLine is one line of a running watch: an event, the reason for its end,
// or neither, which only shows that the watch is alive.
type WatchLine struct {
	Event *store.Event `json:"event,omitempty"`
	End   *Error       `json:"end,omitempty"`
}

// GrantRequest is the body of PathGrant; the answer is a store.Lease.
type GrantRequest struct {
	TimeToLive time.Duration `json:"timeToLive"`
}

// LeaseRequest is the body of PathKeepAlive and PathRevoke.
type LeaseRequest struct {
	LeaseID string `json:"leaseId"`
}

// Empty is the answer of operations that return nothing.
type Empty struct{}

// Code names an error of the port.
type Code string

// The codes. Only a code from the store itself proves that a request was not
// run; a bare HTTP status proves nothing.
const (
	CodeNotFound      Code = "notFound"
	CodeConflict      Code = "conflict"
	CodeUnavailable   Code = "unavailable"
	CodeRateLimited   Code = "rateLimited"
	CodeLeaseNotFound Code = "leaseNotFound"
	CodeCompacted     Code = "compacted"
	CodeTooLarge      Code = "tooLarge"
	CodeInvalid       Code = "invalid"
	CodeUnknown       Code = "unknownOutcome"
)

// Error is the body of every answer that is not a success.
type Error struct {
	Code    Code   `json:"code"`
	Message string `json:"message"`
}

type mapping struct {
	code   Code
	status int
	err    error
}

var mappings = []mapping{
	{CodeNotFound, http.StatusNotFound, store.ErrNotFound},
	{CodeConflict, http.StatusConflict, store.ErrConflict},
	{CodeUnknown, http.StatusGatewayTimeout, store.ErrUnknownOutcome},
	{CodeUnavailable, http.StatusServiceUnavailable, store.ErrUnavailable},
	{CodeRateLimited, http.StatusTooManyRequests, store.ErrRateLimited},
	{CodeLeaseNotFound, http.StatusNotFound, store.ErrLeaseNotFound},
	{CodeCompacted, http.StatusGone, store.ErrCompacted},
	{CodeTooLarge, http.StatusRequestEntityTooLarge, store.ErrTooLarge},
}

// EncodeError returns the status and body that stand for an error; errors that
// are none of the port's mean an invalid request.
func EncodeError(err error) (int, Error) {
	for _, known := range mappings {
		if errors.Is(err, known.err) {
			return known.status, Error{Code: known.code, Message: err.Error()}
		}
	}
	return http.StatusBadRequest, Error{Code: CodeInvalid, Message: err.Error()}
}

// Sentinel returns the port's error for a code and whether the code is known.
func (e Error) Sentinel() (error, bool) {
	for _, known := range mappings {
		if known.code == e.Code {
			return known.err, true
		}
	}
	return nil, false
}
