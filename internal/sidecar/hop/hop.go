// Package hop holds what sidecars say to each other beside the requests they
// pass on: the marker headers of a request between two nodes, and the names
// that the assembly gives to headers of callers and back ends.
package hop

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/kestrelstream/kestrelstream/internal/proxy/outcome"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/admission"
)

// Markers between two nodes, beside those of package outcome. All of them begin
// with the mesh's prefix, so that none passes from or to outside.
const (
	// HeaderEndpoint names the back end that the caller's node means.
	HeaderEndpoint = "Kestrel-Endpoint"
	// HeaderCaller names the service beside the node where the request began.
	HeaderCaller = "Kestrel-Caller"
	// HeaderPriority carries the route's rank.
	HeaderPriority = "Kestrel-Priority"
	// HeaderMaximumWait carries how long the request may wait, in milliseconds.
	HeaderMaximumWait = "Kestrel-Maximum-Wait-Ms"
	// HeaderVersion carries the configuration's version on replies.
	HeaderVersion = "Kestrel-Version"
)

// Vocabulary names the headers by which callers and back ends speak with the
// mesh. The assembly provides it; names are in canonical form.
type Vocabulary struct {
	// RequestID identifies one try of a caller; back ends send it back.
	RequestID string
	// Deadline carries the remaining time in whole milliseconds.
	Deadline string
	// TargetInstance names the only back end that may run the request.
	TargetInstance string
	// CallerService names the service beside the node where a request began.
	CallerService string
	// NotProcessed on an answer says that the request was not run.
	NotProcessed string
	// Signature stands on every answer of a back end that ran the request.
	Signature string
}

// Load is a node's own account of its back end, as replies carry it.
type Load struct {
	Running, Waiting, Slots int
	// Service is how long the back end works on one request.
	Service time.Duration
}

// FormatLoad writes a load as a header value.
func FormatLoad(load admission.Load) string {
	return strconv.Itoa(load.Running) + "," + strconv.Itoa(load.Waiting) + "," +
		strconv.Itoa(load.Slots) + "," + strconv.FormatInt(load.Service.Microseconds(), 10)
}

const loadParts = 4

// ParseLoad reads a load from a reply's header.
func ParseLoad(header http.Header) (load Load, valid bool) {
	parts := strings.SplitN(header.Get(outcome.HeaderLoad), ",", loadParts)
	if len(parts) != loadParts {
		return Load{}, false
	}
	var numbers [loadParts]int
	for index, part := range parts {
		number, err := strconv.Atoi(part)
		if err != nil || number < 0 {
			return Load{}, false
		}
		numbers[index] = number
	}
	service := time.Duration(numbers[3]) * time.Microsecond
	return Load{Running: numbers[0], Waiting: numbers[1], Slots: numbers[2], Service: service}, true
}

// Milliseconds reads a whole number of milliseconds above or equal to zero.
func Milliseconds(text string) (duration time.Duration, valid bool) {
	number, err := strconv.ParseInt(text, 10, 64)
	const most = int64(24 * time.Hour / time.Millisecond)
	if err != nil || number < 0 || number > most {
		return 0, false
	}
	return time.Duration(number) * time.Millisecond, true
}

// FormatMilliseconds writes a duration as whole milliseconds, at least one.
func FormatMilliseconds(duration time.Duration) string {
	return strconv.FormatInt(max(duration.Milliseconds(), 1), 10)
}

// retryAfterDecimals is how exactly Retry-After is written.
const retryAfterDecimals = 2

// FormatSeconds writes a duration as seconds with a fraction.
func FormatSeconds(duration time.Duration) string {
	return strconv.FormatFloat(duration.Seconds(), 'f', retryAfterDecimals, 64)
}
