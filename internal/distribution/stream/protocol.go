// Package stream transports the messages of the distribution tree over HTTP/1.1:
// a child opens one long-lived POST /v1/stream and reads JSON messages, one per
// line; it sends its reports by POST /v1/report. The package implements the
// transport only: the cores behind Host and Subscription decide what is sent and
// to whom children attach.
package stream

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/gravitational/trace"
)

// Paths of the HTTP API.
const (
	// PathStream opens a stream; the body is a distribution.Hello.
	PathStream = "/v1/stream"
	// PathReport accepts a distribution.Report for an open stream.
	PathReport = "/v1/report"
)

// Headers of the HTTP API.
const (
	// HeaderSession identifies the stream that a report belongs to.
	HeaderSession = "Kestrel-Session"
	// HeaderParents lists the parents that the child may attach to, as JSON. It
	// is sent in the response that opens a stream and, when the list changed,
	// in responses to reports.
	HeaderParents = "Kestrel-Parents"
	// HeaderError names the step at which a request was refused.
	HeaderError = "Kestrel-Error"
)

// Limits on data read from a peer.
const (
	maximumHelloBytes  = 64 << 10
	maximumReportBytes = 1 << 20
	// DefaultMaximumMessageBytes limits the size of one decompressed message
	// line.
	DefaultMaximumMessageBytes = 64 << 20
)

// defaultWriteTimeout limits the time to write one message to a child.
const defaultWriteTimeout = 10 * time.Second

// Parent is a daemon that a child may attach to.
type Parent struct {
	Node string `json:"node"`
	// Address is the address of its stream listener, as IP:port.
	Address string `json:"address"`
}

// setParents sets the header with the advertised parents, if there are any.
func setParents(header http.Header, parents []Parent) error {
	if len(parents) == 0 {
		return nil
	}
	encoded, err := json.Marshal(parents)
	if err != nil {
		return trace.Wrap(err, "encode parents")
	}
	header.Set(HeaderParents, string(encoded))
	return nil
}

// readParents returns the advertised parents. It returns nil when the header is
// absent or malformed; the child then keeps the parents it knows.
func readParents(header http.Header) []Parent {
	var parents []Parent
	if json.Unmarshal([]byte(header.Get(HeaderParents)), &parents) != nil {
		return nil
	}
	return parents
}

// RefusedError reports that a parent refused a stream or a report.
type RefusedError struct {
	// Status is the HTTP status of the refusal.
	Status int
	Reason string
	// RetryAfter is how long the child should wait before it tries again; zero
	// when the parent did not specify it.
	RetryAfter time.Duration
	// Redirect is the address of another parent to attach to, or "".
	Redirect string
}

// Error returns the redirect address, or the status and the reason.
func (e *RefusedError) Error() string {
	if e.Redirect != "" {
		return fmt.Sprintf("redirected to %s", e.Redirect)
	}
	return fmt.Sprintf("refused with status %d: %s", e.Status, e.Reason)
}

// MessageTooLargeError reports that a peer sent a line above the size limit.
type MessageTooLargeError struct {
	// Limit is the limit in bytes.
	Limit int
}

// Error returns a message with the limit.
func (e *MessageTooLargeError) Error() string {
	return fmt.Sprintf("message exceeds %d bytes", e.Limit)
}
