package ingress

import (
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/clock"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/hop"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/roster"
)

// notices holds what the back end last asked for with an answer. It is safe for concurrent use.
type notices struct {
	mu sync.Mutex // guards all below
	// of is the incarnation that asked for last, since when.
	of    roster.Incarnation
	last  hop.Notice
	since time.Time
	// unreadable: the last notice could not be read.
	unreadable bool
}

// hears takes in a notice and reports whether it says something new.
func (n *notices) hears(of roster.Incarnation, heard hop.Notice, now time.Time) (before hop.Notice, changed bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.unreadable = false
	if n.of != of {
		n.of, n.last, n.since = of, hop.Notice{}, now
	}
	before = n.last
	if before == heard {
		return before, false
	}
	n.last, n.since = heard, now
	return before, true
}

// failed takes in that a notice could not be read and reports whether the one before could.
func (n *notices) failed() (first bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	first = !n.unreadable
	n.unreadable = true
	return first
}

// Notice returns what the back end asks for, and for how long it has.
func (h *Handler) Notice() (notice hop.Notice, age time.Duration) {
	h.notices.mu.Lock()
	defer h.notices.mu.Unlock()
	return h.notices.last, clock.Since(h.notices.since)
}

// hear takes in what the back end asks for with an answer.
func (a *arrival) hear(header http.Header) {
	options := &a.handler.options
	if options.DecodeNotice == nil {
		return
	}
	notice, err := options.DecodeNotice(header)
	if err != nil {
		options.Observer.NoticeUnreadable()
		if a.handler.notices.failed() {
			options.Logger.Warn("notice of the back end not read", zap.String("endpoint", a.endpoint.ID), zap.Error(err))
		}
		return
	}
	before, changed := a.handler.notices.hears(a.endpoint.Incarnation(), notice, clock.Now())
	if changed {
		options.Logger.Info("back end asks", zap.String("endpoint", a.endpoint.ID), zap.String("service", a.endpoint.Service),
			zap.Bool("limited", notice.Limited), zap.Float64("perSecond", notice.PerSecond), zap.Bool("leaving", notice.Leaving),
			zap.Bool("limitedBefore", before.Limited), zap.Float64("perSecondBefore", before.PerSecond))
	}
}
