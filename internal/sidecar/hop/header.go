package hop

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/rollout"
)

// Request is the metadata that the caller's node sends with a request to the receiving node.
type Request struct {
	// Service is the intended service, Caller the service beside the node where the request entered
	// the mesh. Neither contains a space.
	Service, Caller string
	// Remaining is the time until the deadline.
	Remaining time.Duration
	// Priority ranks requests; zero is the most urgent.
	Priority int
	// MaximumWait is the maximum time that the request may wait for a slot.
	MaximumWait time.Duration
	// ExpectedServiceTime is the time that back ends usually work on such a request.
	ExpectedServiceTime time.Duration
	// Returning: the caller was refused before and is retrying.
	Returning bool
	// Suspect: a back end crashed while it ran the request at an earlier send.
	Suspect bool
	// Nested and OverShare are as in precedence.Precedence.
	Nested, OverShare bool
	// Repeated: the request reached a back end before, so the nested calls of its run are repeats.
	Repeated bool
	// BaselineRates is sent with requests to a version under comparison: the usual rate of bad
	// answers to such requests. It is nil otherwise.
	BaselineRates *rollout.BaselineRates
}

// ErrMalformedHeader is returned for an internal header that cannot be parsed.
var ErrMalformedHeader = errors.New("hop: internal header cannot be read")

// Format returns the header value of the request. Durations are whole microseconds.
func (r *Request) Format() string {
	line := make([]byte, 0, 96)
	line = append(line, r.Service...)
	line = append(line, ' ')
	line = append(line, r.Caller...)
	flags := int64(0)
	if r.Returning {
		flags |= flagReturning
	}
	if r.Suspect {
		flags |= flagSuspect
	}
	if r.Nested {
		flags |= flagNested
	}
	if r.OverShare {
		flags |= flagOverShare
	}
	if r.Repeated {
		flags |= flagRepeated
	}
	for _, number := range [...]int64{
		max(r.Remaining.Microseconds(), 1), int64(r.Priority), max(r.MaximumWait.Microseconds(), 0),
		max(r.ExpectedServiceTime.Microseconds(), 0), flags,
	} {
		line = strconv.AppendInt(append(line, ' '), number, 10)
	}
	if r.BaselineRates != nil {
		line = strconv.AppendInt(append(line, ' '), int64(r.BaselineRates.Failing*shareScale), 10)
		line = strconv.AppendInt(append(line, ' '), int64(r.BaselineRates.Slow*shareScale), 10)
	}
	return string(line)
}

const (
	// shareScale converts shares to whole numbers.
	shareScale         = 1000
	usualFieldCount    = 2
	requestNameCount   = 2
	requestNumberCount = 5
	replyNumberCount   = 8
	// Flags of a request. Nodes of the previous release read any non-zero value as flagReturning.
	flagReturning = 1
	flagSuspect   = 2
	flagNested    = 4
	flagOverShare = 8
	flagRepeated  = 16
	// legacySlackIndex is the position of the additional number that the previous release sends.
	legacySlackIndex = 5
)

// ParseRequest parses the header value of a request. Nodes of the previous release send one more
// number, the time within which the request must get a slot; it is ignored.
func ParseRequest(line string) (Request, error) {
	parts := strings.Split(line, " ")
	if len(parts) == requestNameCount+requestNumberCount+1 {
		parts = slices.Delete(parts, legacySlackIndex, legacySlackIndex+1)
	}
	hasUsual := len(parts) == requestNameCount+requestNumberCount+usualFieldCount
	if (len(parts) != requestNameCount+requestNumberCount && !hasUsual) || parts[0] == "" {
		return Request{}, fmt.Errorf("%w: %d fields", ErrMalformedHeader, len(parts))
	}
	numbers, err := parseNumbers(parts[requestNameCount:])
	if err != nil {
		return Request{}, err
	}
	read := Request{
		Service: parts[0], Caller: parts[1],
		Remaining: microseconds(numbers[0]), Priority: int(numbers[1]), MaximumWait: microseconds(numbers[2]),
		ExpectedServiceTime: microseconds(numbers[3]), Returning: numbers[4]&flagReturning != 0, Suspect: numbers[4]&flagSuspect != 0,
		Nested: numbers[4]&flagNested != 0, OverShare: numbers[4]&flagOverShare != 0,
		Repeated: numbers[4]&flagRepeated != 0,
	}
	if hasUsual {
		read.BaselineRates = &rollout.BaselineRates{
			Failing: min(float64(numbers[5])/shareScale, 1), Slow: min(float64(numbers[6])/shareScale, 1),
		}
	}
	return read, nil
}

// Reply is the state that the receiving node reports with each reply.
type Reply struct {
	// Version is the version of the configuration in force at the node.
	Version uint64
	// Running, Waiting and Slots describe the load of its back end, HoldTime how long a slot is
	// held.
	Running, Waiting, Slots int
	HoldTime                time.Duration
	// Factor is the service time of the back end relative to that of others.
	Factor float64
	// ServiceTime is the time that the back end worked on this request; zero if it did not.
	ServiceTime time.Duration
	// FailureRate is the share of the back end's requests that fail.
	FailureRate float64
}

// factorScale converts factors to whole numbers.
const factorScale = 1000

// Format returns the header value of the reply.
func (r *Reply) Format() string {
	line := make([]byte, 0, 64)
	line = strconv.AppendUint(line, r.Version, 10)
	for _, number := range [...]int64{
		int64(r.Running), int64(r.Waiting), int64(r.Slots), r.HoldTime.Microseconds(),
		int64(r.Factor * factorScale), r.ServiceTime.Microseconds(), int64(r.FailureRate * factorScale),
	} {
		line = strconv.AppendInt(append(line, ' '), max(number, 0), 10)
	}
	return string(line)
}

// ParseReply parses the header value of a reply. Nodes of the previous release send no failure
// rate.
func ParseReply(line string) (Reply, error) {
	parts := strings.Split(line, " ")
	if len(parts) == replyNumberCount-1 {
		parts = append(parts, "0")
	}
	if len(parts) != replyNumberCount {
		return Reply{}, fmt.Errorf("%w: %d fields", ErrMalformedHeader, len(parts))
	}
	numbers, err := parseNumbers(parts)
	if err != nil {
		return Reply{}, err
	}
	return Reply{
		Version: numbers[0], Running: int(numbers[1]), Waiting: int(numbers[2]), Slots: int(numbers[3]),
		HoldTime: microseconds(numbers[4]), Factor: float64(numbers[5]) / factorScale, ServiceTime: microseconds(numbers[6]),
		FailureRate: float64(numbers[7]) / factorScale,
	}, nil
}

// parseNumbers parses whole numbers of at most 53 bits.
func parseNumbers(parts []string) ([]uint64, error) {
	numbers := make([]uint64, len(parts))
	for index, part := range parts {
		const bits = 53
		number, err := strconv.ParseUint(part, 10, bits)
		if err != nil {
			return nil, fmt.Errorf("%w: %w", ErrMalformedHeader, err)
		}
		numbers[index] = number
	}
	return numbers, nil
}

func microseconds(number uint64) time.Duration { return time.Duration(number) * time.Microsecond }
