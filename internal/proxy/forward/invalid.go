package forward

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Reason states why bytes of a peer were rejected. It is also a label of metrics.
type Reason string

// The reasons for which bytes of a peer are rejected.
const (
	// NotHTTP: the bytes in the place of a reply are no HTTP/1 reply.
	NotHTTP Reason = "not-http"
	// StatusInvalid: the status is none of HTTP.
	StatusInvalid Reason = "status"
	// FieldInvalid: the name of a header field is no token, or there is none.
	FieldInvalid Reason = "header-field"
	// HeaderTooLarge: the header exceeds Limits.ReplyHeaderBytes.
	HeaderTooLarge Reason = "header-bytes"
	// HeaderTooSlow: the header did not end within Limits.ReplyHeaderTimeout.
	HeaderTooSlow Reason = "header-time"
	// TooManyInterim: more than Limits.InterimReplies came before the reply.
	TooManyInterim Reason = "interim-replies"
	// DroppedTooLarge: a reply to another request exceeds Limits.DroppedReplyBytes.
	DroppedTooLarge Reason = "dropped-bytes"
	// DroppedTooSlow: a reply to another request did not end within
	// Limits.DroppedReplyTimeout.
	DroppedTooSlow Reason = "dropped-time"
	// BodyTooLarge: the body exceeds Limits.ReplyBodyBytes.
	BodyTooLarge Reason = "body-bytes"
	// BodyTooSlow: the body did not end before the deadline of the request.
	BodyTooSlow Reason = "body-time"
	// Unsolicited: the bytes arrived before or after a reply.
	Unsolicited Reason = "unsolicited"
	// BodyBroken: the body ended early, or its framing is invalid.
	BodyBroken Reason = "body-broken"
)

// ReplyError reports bytes of a peer that are no valid reply or exceed a limit. Their connection is
// closed. A request that was sent may have been run.
type ReplyError struct {
	Reason Reason
	// Bytes is the number of bytes read up to the rejection, of unsolicited ones that of their own.
	// Elapsed is the time since the exchange began, zero outside of one.
	Bytes   int64
	Elapsed time.Duration
}

// Error returns the reason with the bytes and the time.
func (e *ReplyError) Error() string {
	return fmt.Sprintf("forward: invalid reply: %s after %d bytes and %v", e.Reason, e.Bytes, e.Elapsed)
}

// IsPeerError reports whether the peer sent bytes that are no valid reply to the request. The
// connection was then closed by this side.
func IsPeerError(err error) bool {
	var invalid *ReplyError
	return errors.Is(err, ErrForeignReply) || errors.As(err, &invalid)
}

// reportInvalid passes rejected bytes to Limits.OnInvalid.
func (p *Pool) reportInvalid(request *http.Request, invalid *ReplyError) {
	if p.onInvalid != nil {
		p.onInvalid(request, invalid)
	}
}
