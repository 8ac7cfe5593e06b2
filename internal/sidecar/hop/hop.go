// Package hop holds what sidecars say to each other beside the requests they
// pass on: the marker headers of a request between two nodes, and the names
// that the assembly gives to headers of callers and back ends.
package hop

import (
	"strconv"
	"time"
)

// Markers between two nodes, beside those of package outcome. All of them begin
// with the mesh's prefix, so that none passes from or to outside.
const (
	// HeaderHop carries a Request, HeaderReply a Reply: one short line each,
	// since what passes between zones is paid for by the byte.
	HeaderHop   = "Kestrel-Hop"
	HeaderReply = "Kestrel-Reply"
	// HeaderVersion carries the version of the configuration by which a request was routed.
	// Nodes of the version before do not tell it, and leave it aside.
	HeaderVersion = "Kestrel-Version"
	// HeaderProof carries, with a reply, for how many milliseconds at most the configuration in force
	// at the node is not known to be the newest. It is told while that is little.
	HeaderProof = "Kestrel-Proof"
	// HeaderShare carries a shares.Standing with a reply, and with a request the part of its tenant's
	// requests for which it stands. It is sent only with Marks of the handlers.
	HeaderShare = "Kestrel-Share"
)

// LargeBodyBytes is from what length on, in bytes, a body is received by the arriving node
// before a slot is taken: a slot is not held while the link works.
const LargeBodyBytes = 16 << 10

// Vocabulary names the headers by which callers and back ends speak with the
// mesh. The assembly provides it; names are in canonical form.
type Vocabulary struct {
	// RequestID identifies one try of a caller; back ends send it back.
	RequestID string
	// Deadline carries the remaining time in whole milliseconds.
	Deadline string
	// TargetInstance names the only back end that may run the request.
	TargetInstance string
	// InstanceID carries a back end's own id.
	InstanceID string
	// CallerService names the service beside the node where a request began.
	CallerService string
	// NotProcessed on an answer says that the request was not run.
	NotProcessed string
	// Signature stands on every answer of a back end that ran the request.
	Signature string
	// APIKey carries a caller's key. It ends at the node where the request begins.
	APIKey string
	// Tenant names, to back ends, whose key the caller has. Nodes alone set it.
	Tenant string
	// WarmupLeft, on the answer to a health check, is for how many more milliseconds the back
	// end is cold.
	WarmupLeft string
	// Load, on answers of a back end, is its load.
	Load string
}

// ParseMilliseconds reads a whole number of milliseconds above or equal to zero.
func ParseMilliseconds(text string) (duration time.Duration, valid bool) {
	number, err := strconv.ParseInt(text, 10, 64)
	const maximum = int64(24 * time.Hour / time.Millisecond)
	if err != nil || number < 0 || number > maximum {
		return 0, false
	}
	return time.Duration(number) * time.Millisecond, true
}

// FormatMilliseconds writes a duration as whole milliseconds, at least one.
func FormatMilliseconds(duration time.Duration) string {
	return strconv.FormatInt(max(duration.Milliseconds(), 1), 10)
}

// FormatAge writes an age as whole milliseconds, not less than it is.
func FormatAge(age time.Duration) string {
	return strconv.FormatInt((age + time.Millisecond - 1).Milliseconds(), 10)
}

// retryAfterDecimals is how exactly Retry-After is written.
const retryAfterDecimals = 2

// FormatSeconds writes a duration as seconds with a fraction.
func FormatSeconds(duration time.Duration) string {
	return strconv.FormatFloat(duration.Seconds(), 'f', retryAfterDecimals, 64)
}
