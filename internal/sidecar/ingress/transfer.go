package ingress

import (
	"context"
	"net/http"

	"golang.org/x/sync/semaphore"

	"github.com/kestrelstream/kestrelstream/internal/proxy/forward"
	"github.com/kestrelstream/kestrelstream/internal/proxy/outcome"
)

const (
	// largeBody is from what length on, in bytes, a body is received before a slot is
	// taken. A shorter one takes no notable time.
	largeBody = 16 << 10
	// largestHeld bounds the bodies that are received whole, in bytes; of a longer one
	// the rest streams in while a slot is held.
	largestHeld = 512 << 10
	// transferMillis says how many bytes are received at once: as many as the link
	// carries in that time, in milliseconds. With more each takes longer, and what else
	// needs the link waits behind them; a tenth of a second is well below the usual
	// target latencies.
	transferMillis = 100
	// assumedLinkMbps stands in for a link of unknown speed.
	assumedLinkMbps = 1000
	bytesPerMegabit = 1000 * 1000 / 8
)

// transfers bounds the large bodies that are received at once. It is safe for
// concurrent use.
type transfers struct {
	// room is in bytes of body, size of them in all.
	room *semaphore.Weighted
	size int64
}

func newTransfers(linkMbps int) *transfers {
	if linkMbps <= 0 {
		linkMbps = assumedLinkMbps
	}
	size := int64(linkMbps) * bytesPerMegabit * transferMillis / 1000
	return &transfers{room: semaphore.NewWeighted(size), size: size}
}

// acquire waits until a body of that length may be sent, and returns how to free
// its room. A body longer than all the room goes alone.
func (t *transfers) acquire(ctx context.Context, length int64) (release func(), err error) {
	weight := min(length, t.size)
	if err := t.room.Acquire(ctx, weight); err != nil {
		return nil, err
	}
	return func() { t.room.Release(weight) }, nil
}

// receivesFirst reports whether the body is received before a slot is taken: a slot
// would be held idle for as long as the link takes.
func (a *arrival) receivesFirst() bool {
	return a.consented && a.request.ContentLength > largeBody && a.request.ContentLength <= largestHeld
}

// receive has the caller's node send the body once there is room on the link. Who
// would wait too long is refused before anything was sent.
func (a *arrival) receive() (*forward.Body, *outcome.Failure) {
	waiting, cancel := context.WithTimeout(a.context, a.told.MaximumWait)
	defer cancel()
	release, err := a.handler.transfers.acquire(waiting, a.request.ContentLength)
	if err != nil {
		return nil, outcome.Refusal(http.StatusServiceUnavailable, outcome.StepAdmit, a.retryAfter(), errLink)
	}
	defer release()
	body, err := a.readConsented(largestHeld)
	if err != nil {
		return nil, outcome.Refusal(http.StatusBadRequest, outcome.StepRequest, 0, err)
	}
	return body, nil
}
