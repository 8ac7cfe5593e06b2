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
	// HeaderSlack carries in how many milliseconds work must begin for the
	// answer to have its full worth.
	HeaderSlack = "Kestrel-Slack-Ms"
	// HeaderReturning is set when the caller was refused before.
	HeaderReturning = "Kestrel-Returning"
	// HeaderExpected carries how long the caller's node expects a back end to
	// work, in microseconds; HeaderWorked how long it did.
	HeaderExpected = "Kestrel-Expected-Us"
	HeaderWorked   = "Kestrel-Worked-Us"
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
	// InstanceID carries a back end's own id.
	InstanceID string
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
	// Service is how long a slot is held.
	Service time.Duration
	// Factor is how much longer the back end works than others do.
	Factor float64
}

const (
	loadParts = 5
	// factorUnits make a whole number of a factor.
	factorUnits = 1000
)

// FormatLoad writes a load as a header value.
func FormatLoad(load admission.Load, factor float64) string {
	numbers := [loadParts]int64{
		int64(load.Running), int64(load.Waiting), int64(load.Slots),
		load.Service.Microseconds(), int64(factor * factorUnits),
	}
	text := make([]byte, 0, 4*loadParts)
	for index, number := range numbers {
		if index > 0 {
			text = append(text, ',')
		}
		text = strconv.AppendInt(text, number, 10)
	}
	return string(text)
}

// ParseLoad reads a load from a reply's header.
func ParseLoad(header http.Header) (load Load, valid bool) {
	parts := strings.Split(header.Get(outcome.HeaderLoad), ",")
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
	return Load{
		Running: numbers[0], Waiting: numbers[1], Slots: numbers[2],
		Service: time.Duration(numbers[3]) * time.Microsecond,
		Factor:  float64(numbers[4]) / factorUnits,
	}, true
}

// Microseconds reads a whole number of microseconds above zero.
func Microseconds(text string) (duration time.Duration, valid bool) {
	number, err := strconv.ParseInt(text, 10, 64)
	if err != nil || number <= 0 || number > time.Hour.Microseconds() {
		return 0, false
	}
	return time.Duration(number) * time.Microsecond, true
}

// FormatMicroseconds writes a duration as whole microseconds.
func FormatMicroseconds(duration time.Duration) string {
	return strconv.FormatInt(duration.Microseconds(), 10)
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
