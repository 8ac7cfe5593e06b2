package ingress

import (
	"context"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sync/semaphore"

	"github.com/kestrelstream/kestrelstream/internal/proxy/forward"
	"github.com/kestrelstream/kestrelstream/internal/proxy/outcome"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/hop"
)

const (
	// maximumBuffered bounds the bodies that are received whole, in bytes; of a longer one
	// the rest streams in while a slot is held.
	maximumBuffered = 512 << 10
	// transferWindow says how many bytes are received at once: as many as the link
	// carries in that time. With more each takes longer, and what else needs the link
	// waits behind them. Measured on links of 10 Mbit/s: 0.05 s and 0.2 s serve fewer.
	transferWindow = 100 * time.Millisecond
	// reservationTimeout is how long a body keeps its room at most: its sender may be slow, and
	// what it does not send takes nothing of the link.
	reservationTimeout = 10 * transferWindow
	// linkWaitShare is the part of its maximum wait that a request may wait for room;
	// the rest is left for the transfer and the slot. Measured against the whole.
	linkWaitShare = 0.5
	// assumedLinkMbps stands in for a link of unknown speed.
	assumedLinkMbps = 1000
	bytesPerMegabit = 1000 * 1000 / 8
)

// transfers bounds the large bodies that are received at once. It is safe for
// concurrent use.
type transfers struct {
	// capacity is in bytes of body, size of them in all.
	capacity *semaphore.Weighted
	size     int64
}

func newTransfers(linkMbps int) *transfers {
	if linkMbps <= 0 {
		linkMbps = assumedLinkMbps
	}
	size := int64(float64(linkMbps*bytesPerMegabit) * transferWindow.Seconds())
	return &transfers{capacity: semaphore.NewWeighted(size), size: size}
}

// acquire waits until a body of that length may be sent, and returns how to free
// its room, which happens by itself after roomTime. A body longer than all the room
// goes alone.
func (t *transfers) acquire(ctx context.Context, length int64) (release func(), err error) {
	weight := min(length, t.size)
	if err := t.capacity.Acquire(ctx, weight); err != nil {
		return nil, err
	}
	free := sync.OnceFunc(func() { t.capacity.Release(weight) })
	expiry := time.AfterFunc(reservationTimeout, free)
	return func() {
		expiry.Stop()
		free()
	}, nil
}

// buffersBeforeAdmission reports whether the body is received before a slot is taken: a slot
// would be held idle for as long as the link takes.
func (a *arrival) buffersBeforeAdmission() bool {
	return a.expectsContinue && a.request.ContentLength > hop.LargeBodyBytes && a.request.ContentLength <= maximumBuffered
}

// receiveBody has the caller's node send the body once there is room on the link. Who
// would wait too long is refused before anything was sent.
func (a *arrival) receiveBody() (*forward.Body, *outcome.Failure) {
	maximum := time.Duration(float64(a.reported.MaximumWait) * linkWaitShare)
	waiting, cancel := context.WithTimeout(a.context, maximum)
	defer cancel()
	release, err := a.handler.transfers.acquire(waiting, a.request.ContentLength)
	if err != nil {
		return nil, outcome.Refusal(http.StatusServiceUnavailable, outcome.StepAdmit, a.retryAfter(), errLink)
	}
	defer release()
	body, err := a.readContinued(maximumBuffered)
	if err != nil {
		return nil, outcome.Refusal(http.StatusBadRequest, outcome.StepRequest, 0, err)
	}
	return body, nil
}
