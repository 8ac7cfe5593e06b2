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
	// maximumBuffered bounds the bodies that are received completely before admission, in bytes.
	// The rest of a longer one is streamed while a slot is held.
	maximumBuffered = 512 << 10
	// transferWindow determines how many bytes are received concurrently: as many as the link
	// carries in that time. With more, each transfer takes longer and delays other traffic on the
	// link; with less, a slow link has room for few bodies at a time.
	transferWindow = 100 * time.Millisecond
	// reservationTimeout is the maximum time for which a body reserves its capacity: a slow sender
	// does not use the link.
	reservationTimeout = 10 * transferWindow
	// linkWaitShare is the part of its maximum wait that a request may wait for the link; the rest
	// is left for the transfer and the slot.
	linkWaitShare = 0.5
	// assumedLinkMbps is used for a link of unknown speed.
	assumedLinkMbps = 1000
	bytesPerMegabit = 1000 * 1000 / 8
)

// transfers limits the large bodies that are received concurrently. It is safe for concurrent use.
type transfers struct {
	// capacity counts bytes of bodies; size is the total.
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

// acquire waits until a body of the given length may be sent and returns the function that releases
// its capacity, which also happens after reservationTimeout. A body longer than the total capacity
// is sent alone.
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

// buffersBeforeAdmission reports whether the body is received before a slot is taken, which would
// otherwise be held during the transfer.
func (a *arrival) buffersBeforeAdmission() bool {
	return a.expectsContinue && a.request.ContentLength > hop.LargeBodyBytes && a.request.ContentLength <= maximumBuffered
}

// receiveBody lets the caller's node send the body once the link has capacity. A request that would
// wait too long is refused before its body is sent.
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
