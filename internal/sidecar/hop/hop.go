// Package hop defines the metadata that sidecars exchange with the requests they forward: the
// internal headers between two nodes, and the names of the headers of callers and back ends, which
// the assembly provides.
package hop

import (
	"strconv"
	"time"
)

// Internal headers between two nodes, beside those of package outcome. All have the mesh's prefix,
// so that they are removed from messages to and from the outside.
const (
	// HeaderHop carries a Request, HeaderReply a Reply. Each is one short line because traffic
	// between zones is billed by the byte.
	HeaderHop   = "Kestrel-Hop"
	HeaderReply = "Kestrel-Reply"
	// HeaderVersion carries the version of the configuration that routed the request. Nodes of the
	// previous release neither send nor read it.
	HeaderVersion = "Kestrel-Version"
	// HeaderProof is set on replies to the time in milliseconds since the node last confirmed that
	// its configuration is the newest. It is sent only while that time is short.
	HeaderProof = "Kestrel-Proof"
	// HeaderShare carries a shares.Allocation on replies and, on requests, the part of its tenant's
	// requests that the request represents. It is sent only with the handlers' option for tenants'
	// shares.
	HeaderShare = "Kestrel-Share"
)

// LargeBodyBytes is the length above which the receiving node reads a body before it takes a slot,
// so that no slot is held during the transfer.
const LargeBodyBytes = 16 << 10

// Vocabulary holds the names of the headers between the mesh and its callers and back ends. The
// assembly provides them in canonical form.
type Vocabulary struct {
	// RequestID identifies one attempt of a caller; back ends echo it.
	RequestID string
	// Deadline carries the remaining time in whole milliseconds.
	Deadline string
	// TargetInstance names the only back end that may run the request.
	TargetInstance string
	// InstanceID carries the back end's own id.
	InstanceID string
	// CallerService names the service beside the node where the request entered the mesh.
	CallerService string
	// NotProcessed, on an answer, means that the request was not run.
	NotProcessed string
	// Signature is present on every answer of a back end that ran the request.
	Signature string
	// APIKey carries the caller's key. It is removed at the node where the request enters the mesh.
	APIKey string
	// Tenant names, for back ends, the tenant of the caller's key. Only nodes set it.
	Tenant string
	// WarmupLeft, on the answer to a health check, is the remaining warm-up time in milliseconds.
	WarmupLeft string
	// Load, on answers of a back end, carries its load.
	Load string
}

// ParseMilliseconds parses a non-negative whole number of milliseconds, at most 24 hours.
func ParseMilliseconds(text string) (duration time.Duration, valid bool) {
	number, err := strconv.ParseInt(text, 10, 64)
	const maximum = int64(24 * time.Hour / time.Millisecond)
	if err != nil || number < 0 || number > maximum {
		return 0, false
	}
	return time.Duration(number) * time.Millisecond, true
}

// FormatMilliseconds formats a duration as whole milliseconds, at least one.
func FormatMilliseconds(duration time.Duration) string {
	return strconv.FormatInt(max(duration.Milliseconds(), 1), 10)
}

// FormatAge formats an age as whole milliseconds, rounded up.
func FormatAge(age time.Duration) string {
	return strconv.FormatInt((age + time.Millisecond - 1).Milliseconds(), 10)
}

// retryAfterDecimals is the number of decimals in Retry-After.
const retryAfterDecimals = 2

// FormatSeconds formats a duration as decimal seconds.
func FormatSeconds(duration time.Duration) string {
	return strconv.FormatFloat(duration.Seconds(), 'f', retryAfterDecimals, 64)
}
