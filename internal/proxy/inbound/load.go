package inbound

import (
	"math"
	"strconv"
	"sync/atomic"
	"time"
)

// reportedLoadLifetime is how long a load that the back end reported is used.
const reportedLoadLifetime = 250 * time.Millisecond

// reportedLoad is the load that the back end last reported.
type reportedLoad struct {
	// share is the reported share of slots in use, as float64 bits.
	share atomic.Uint64
	// receivedAt is the time of receipt in Unix nanoseconds.
	receivedAt atomic.Int64
}

// recordLoad records the load header of the back end: the share of its slots in use, from 0 to 1.
// Other values are ignored.
func (h *Handler) recordLoad(text string) {
	if text == "" {
		return
	}
	share, err := strconv.ParseFloat(text, 64)
	if err != nil || !(share >= 0 && share <= 1) {
		return
	}
	h.reported.share.Store(math.Float64bits(share))
	h.reported.receivedAt.Store(time.Now().UnixNano())
}

// loadHeader returns the load header "<in flight>/<slots>". A reported load below the one that this
// proxy observes contradicts it and is ignored. A reported load is capped at slots-1, since the
// back end has just responded to a request.
func (h *Handler) loadHeader() string {
	slots := 0
	if settings := h.current.Load(); settings != nil {
		slots = settings.slots
	}
	observed := h.limiter.InFlight() + h.limiter.Waiting()
	return strconv.Itoa(max(observed, h.reportedSlots(slots))) + "/" + strconv.Itoa(slots)
}

// reportedSlots returns the number of slots in use by the load that the back end last reported, or
// 0 if that report has expired.
func (h *Handler) reportedSlots(slots int) int {
	if time.Now().UnixNano()-h.reported.receivedAt.Load() > int64(reportedLoadLifetime) {
		return 0
	}
	share := math.Float64frombits(h.reported.share.Load())
	return min(int(share*float64(slots)), slots-1)
}
