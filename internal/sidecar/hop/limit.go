package hop

import (
	"fmt"
	"math"
	"strconv"
	"strings"
)

// Headers that are set on replies only while the back end has a limit or is draining. Nodes of the
// previous release ignore them.
const (
	// HeaderLimit carries a Limit.
	HeaderLimit = "Kestrel-Limit"
	// HeaderLeaving carries the incarnation of a back end that announced that it is draining.
	HeaderLeaving = "Kestrel-Leaving"
)

// Limit is the rate limit announced by the back end, as its node reports it to callers' nodes.
type Limit struct {
	// PerSecond is the rate that the back end accepts from all nodes together.
	PerSecond float64
	// Remaining is the number of requests like the answered one that the limit admits now; it is
	// negative while requests wait.
	Remaining float64
}

const (
	// limitScale converts rates and remaining requests to whole numbers.
	limitScale = 1000
	// maximumLimit bounds both.
	maximumLimit    = 1 << 40
	limitFieldCount = 2
)

// Format returns the header value of the limit.
func (l Limit) Format() string {
	line := strconv.AppendInt(nil, scaleLimit(l.PerSecond), 10)
	return string(strconv.AppendInt(append(line, ' '), scaleLimit(l.Remaining), 10))
}

func scaleLimit(number float64) int64 {
	return int64(math.Floor(min(max(number, -maximumLimit), maximumLimit) * limitScale))
}

// ParseLimit parses the header value of a limit.
func ParseLimit(line string) (Limit, error) {
	parts := strings.Split(line, " ")
	if len(parts) != limitFieldCount {
		return Limit{}, fmt.Errorf("%w: %d fields", ErrMalformedHeader, len(parts))
	}
	numbers := [limitFieldCount]float64{}
	for i, part := range parts {
		number, err := strconv.ParseInt(part, 10, 64)
		if err != nil || number > maximumLimit*limitScale || number < -maximumLimit*limitScale {
			return Limit{}, fmt.Errorf("%w: %q is not a valid number", ErrMalformedHeader, part)
		}
		numbers[i] = float64(number) / limitScale
	}
	if numbers[0] < 0 {
		return Limit{}, fmt.Errorf("%w: the limit is negative", ErrMalformedHeader)
	}
	return Limit{PerSecond: numbers[0], Remaining: numbers[1]}, nil
}
