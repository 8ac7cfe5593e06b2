package ingress

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/admission"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/clock"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/hop"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/ratelimit"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/roster"
)

// noticeLogInterval is the minimum time between two log lines on a changing limit.
const noticeLogInterval = time.Second

// notices tracks the announcements in the back end's answers. It is safe for concurrent use.
type notices struct {
	// noReplyYet: no answer has been received since the start of this process that shows whether
	// there is a limit. Until then a limit that callers' nodes report is applied.
	noReplyYet atomic.Bool

	mu sync.Mutex // guards all below
	// of is the current incarnation; draining: it announced that it is draining.
	of       roster.Incarnation
	draining bool
	// unreadable: the last notice could not be decoded.
	unreadable bool
	// lastLogged is the time at which the limit was last logged.
	lastLogged time.Time
}

// setIncarnation records the current incarnation.
func (n *notices) setIncarnation(of roster.Incarnation, gate *admission.Gate) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.of == of {
		return
	}
	if n.of != (roster.Incarnation{}) {
		n.noReplyYet.Store(false) // a new process has announced no limit before
	}
	n.of, n.draining = of, false
	gate.ResetLimit()
}

// markDraining records that an incarnation is draining and reports whether that is new.
func (n *notices) markDraining(of roster.Incarnation) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.of != of || n.draining {
		return false
	}
	n.draining = true
	return true
}

// markUnreadable records that a notice could not be decoded and reports whether the one before
// could.
func (n *notices) markUnreadable() (first bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	first = !n.unreadable
	n.unreadable = true
	return first
}

// Limit returns the rate limit that the back end announced.
func (h *Handler) Limit() admission.Limit { return h.gate.Limit() }

// LeavesByAnswer reports whether an incarnation announced in an answer that it is draining.
func (h *Handler) LeavesByAnswer(of roster.Incarnation) bool { return h.notices.announcedDraining(of) }

// applyNotice applies the announcements in an answer to a request sent at the given time.
func (h *Handler) applyNotice(header http.Header, of *roster.Endpoint, sent time.Time) {
	if notice, read := h.read(header, of); read {
		h.applyLimit(ratelimit.Advertised{HasLimit: notice.Limited, PerSecond: notice.PerSecond}, of, sent)
	}
}

// applyHealthNotice is applyNotice for the answer to a health check, which may omit a limit that is
// in force.
func (h *Handler) applyHealthNotice(header http.Header, of *roster.Endpoint, sent time.Time) {
	if notice, read := h.read(header, of); read && notice.Limited {
		h.applyLimit(ratelimit.Advertised{HasLimit: true, PerSecond: notice.PerSecond}, of, sent)
	}
}

// read decodes the announcements and returns false if the limit cannot be decoded. It passes
// on that the back end is draining.
func (h *Handler) read(header http.Header, of *roster.Endpoint) (notice hop.Notice, read bool) {
	if h.options.DecodeNotice == nil {
		return hop.Notice{}, false
	}
	notice, err := h.options.DecodeNotice(header)
	if notice.Draining && h.notices.markDraining(of.Incarnation()) {
		h.options.Logger.Info("back end leaves by word of an answer", zap.String("endpoint", of.ID), zap.String("service", of.Service))
		h.options.OnDraining(of.Incarnation())
	}
	if err == nil {
		return notice, true
	}
	h.options.Observer.NoticeUnreadable()
	if h.notices.markUnreadable() {
		h.options.Logger.Warn("notice of the back end not read", zap.String("endpoint", of.ID), zap.Error(err))
	}
	return notice, false
}

// applyLimit applies the limit of an answer. A late answer of a former incarnation is ignored.
func (h *Handler) applyLimit(advertised ratelimit.Advertised, of *roster.Endpoint, sent time.Time) {
	h.notices.mu.Lock()
	defer h.notices.mu.Unlock()
	if h.notices.of != of.Incarnation() {
		return
	}
	h.notices.unreadable = false
	now := clock.Now()
	if before, changed := h.gate.UpdateLimit(advertised, sent, now); changed {
		h.logLimit(of, before, advertised, now)
	}
	h.notices.noReplyYet.Store(false)
}

// applyPeerLimit applies the limit that the caller's node reports, until the back end answers for
// the first time since the start of this process.
func (a *arrival) applyPeerLimit() {
	line := a.request.Header.Get(hop.HeaderLimit)
	if line == "" || !a.handler.notices.noReplyYet.Load() {
		return
	}
	reported, err := hop.ParseLimit(line)
	if err != nil {
		a.handler.options.Logger.Warn("limit told by a node not read", zap.String("peer", a.request.RemoteAddr), zap.Error(err))
		return
	}
	// If several nodes report limits, the strictest applies.
	if _, changed := a.handler.gate.UpdateLimit(ratelimit.Advertised{HasLimit: true, PerSecond: reported.PerSecond}, time.Time{}, clock.Now()); changed {
		a.handler.options.Logger.Info("limit of the back end told by a node", zap.String("endpoint", a.endpoint.ID),
			zap.String("peer", a.request.RemoteAddr), zap.Float64("perSecond", reported.PerSecond))
	}
}

// logLimit logs a change; the caller holds the lock of notices.
func (h *Handler) logLimit(of *roster.Endpoint, before admission.Limit, advertised ratelimit.Advertised, now time.Time) {
	if before.HasLimit == advertised.HasLimit && now.Sub(h.notices.lastLogged) < noticeLogInterval {
		return
	}
	h.notices.lastLogged = now
	h.options.Logger.Info("limit of the back end", zap.String("endpoint", of.ID), zap.String("service", of.Service),
		zap.Bool("limited", advertised.HasLimit), zap.Float64("perSecond", advertised.PerSecond),
		zap.Bool("limitedBefore", before.HasLimit), zap.Float64("perSecondBefore", before.PerSecond),
		zap.Duration("for", before.Age), zap.Int("recent", before.Recent))
}

// announcedDraining reports whether an incarnation announced in an answer that it is draining.
func (n *notices) announcedDraining(of roster.Incarnation) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.draining && n.of == of
}

// setNoticeHeaders sets the headers for the back end's announcements.
func (a *arrival) setNoticeHeaders(header http.Header) {
	if a.handler.gate.Limited() {
		a.setLimitHeader(header)
	}
	if a.endpoint != nil && a.handler.notices.announcedDraining(a.endpoint.Incarnation()) {
		header[hop.HeaderLeaving] = []string{a.endpoint.Incarnation().String()}
	}
}

// setLimitHeader sets the header for the back end's rate limit.
func (a *arrival) setLimitHeader(header http.Header) {
	if perSecond, remaining, limited := a.handler.gate.Remaining(a.ticket(), a.limited); limited {
		header[hop.HeaderLimit] = []string{hop.Limit{PerSecond: perSecond, Remaining: remaining}.Format()}
	}
}
