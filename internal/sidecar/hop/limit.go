package hop

import (
	"fmt"
	"math"
	"strconv"
	"strings"
)

// Markers that go with a reply only while the back end asks for something. Nodes of the version before
// leave them aside.
const (
	// HeaderLimit carries a Limit.
	HeaderLimit = "Kestrel-Limit"
	// HeaderLeaving names the incarnation of the back end that leaves by its own word.
	HeaderLeaving = "Kestrel-Leaving"
)

// Limit is what the arriving node tells of the limit that its back end has named.
type Limit struct {
	// PerSecond is the rate that the back end takes from all nodes together.
	PerSecond float64
	// Room is how many requests like the one replied to may pass now, below zero for those that wait.
	Room float64
}

const (
	// limitScale make a whole number of a rate and of room.
	limitScale = 1000
	// maximumLimit bounds both.
	maximumLimit    = 1 << 40
	limitFieldCount = 2
)

// Format writes the limit as a header value.
func (l Limit) Format() string {
	line := strconv.AppendInt(nil, scaleLimit(l.PerSecond), 10)
	return string(strconv.AppendInt(append(line, ' '), scaleLimit(l.Room), 10))
}

func scaleLimit(number float64) int64 {
	return int64(math.Floor(min(max(number, -maximumLimit), maximumLimit) * limitScale))
}

// ParseLimit reads a limit's header value.
func ParseLimit(line string) (Limit, error) {
	parts := strings.Split(line, " ")
	if len(parts) != limitFieldCount {
		return Limit{}, fmt.Errorf("%w: %d parts", ErrMalformedHeader, len(parts))
	}
	numbers := [limitFieldCount]float64{}
	for i, part := range parts {
		number, err := strconv.ParseInt(part, 10, 64)
		if err != nil || number > maximumLimit*limitScale || number < -maximumLimit*limitScale {
			return Limit{}, fmt.Errorf("%w: %q is no number of a limit", ErrMalformedHeader, part)
		}
		numbers[i] = float64(number) / limitScale
	}
	if numbers[0] < 0 {
		return Limit{}, fmt.Errorf("%w: a limit below zero", ErrMalformedHeader)
	}
	return Limit{PerSecond: numbers[0], Room: numbers[1]}, nil
}
