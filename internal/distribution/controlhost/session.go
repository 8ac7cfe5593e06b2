package controlhost

import (
	"context"
	"crypto/rand"
	"net/http"
	"slices"
	"time"

	"github.com/kestrelstream/kestrelstream/internal/distribution"
	"github.com/kestrelstream/kestrelstream/internal/distribution/control"
	"github.com/kestrelstream/kestrelstream/internal/distribution/relay"
	"github.com/kestrelstream/kestrelstream/internal/distribution/stream"
)

// session is the session of one child. The core sends the next message only after
// Sent, so a buffer of one message suffices and the loop never blocks on it.
type session struct {
	id       relay.SessionID
	token    string
	node     distribution.Node
	kind     distribution.ChildKind
	host     *Host
	messages chan *stream.EncodedMessage
	// refusal and initialParents are set by the loop before the attach is answered.
	refusal        *stream.RefusedError
	initialParents []stream.Parent
	// lastOffered is the list last offered to the child; it is owned by the
	// loop's goroutine.
	lastOffered []stream.Parent
}

// ID returns the token that identifies the session in reports.
func (s *session) ID() string { return s.token }

// Messages returns the channel of messages to send to the child.
func (s *session) Messages() <-chan *stream.EncodedMessage { return s.messages }

// Parents returns the daemons offered to the child when it attaches.
func (s *session) Parents() []stream.Parent { return s.initialParents }

// changedParents returns the daemons to offer to a proxy, or nil if they are the
// same as last time. It runs on the loop's goroutine.
func (s *session) changedParents() []stream.Parent {
	if s.kind != distribution.ChildProxy {
		return nil
	}
	parents := s.host.relaysForZone(s.node.Zone)
	if slices.Equal(parents, s.lastOffered) {
		return nil
	}
	s.lastOffered = parents
	return parents
}

// Sent reports that the last message was written.
func (s *session) Sent() {
	_ = s.host.submit(context.Background(), func(now time.Time) control.Outputs {
		return s.host.core.Sent(now, s.id)
	})
}

// Detach ends the session after its stream ended.
func (s *session) Detach() {
	_ = s.host.submit(context.Background(), func(now time.Time) control.Outputs {
		s.host.closeSession(s.id)
		return s.host.core.Detach(now, s.id)
	})
}

// Attach admits a child, or returns a *stream.RefusedError.
func (h *Host) Attach(ctx context.Context, hello distribution.Hello) (stream.Session, error) {
	opened := &session{
		token:    rand.Text(),
		node:     hello.Node,
		kind:     hello.Kind,
		host:     h,
		messages: make(chan *stream.EncodedMessage, 1),
	}
	answered := make(chan struct{})
	err := h.submit(ctx, func(now time.Time) control.Outputs {
		defer close(answered)
		return h.attach(now, opened, hello)
	})
	if err != nil {
		return nil, stopping()
	}
	select {
	case <-answered:
	case <-h.stopped:
		return nil, stopping()
	}
	if opened.refusal != nil {
		return nil, opened.refusal
	}
	return opened, nil
}

func (h *Host) attach(now time.Time, opened *session, hello distribution.Hello) control.Outputs {
	if h.stopping {
		opened.refusal = stopping()
		return control.Outputs{}
	}
	h.lastSession++
	opened.id = h.lastSession
	h.sessions[opened.id] = opened
	h.byToken[opened.token] = opened.id
	opened.initialParents = opened.changedParents()
	outputs := h.core.Attach(now, opened.id, hello)
	for _, refusal := range outputs.Refusals {
		h.refuse(refusal)
	}
	return outputs
}

// stopRetryAfter is the delay after which a child refused by a stopping daemon
// may try again.
const stopRetryAfter = time.Second

func stopping() *stream.RefusedError {
	return &stream.RefusedError{Status: http.StatusServiceUnavailable, Reason: "stopping", RetryAfter: stopRetryAfter}
}

// Report processes a report of an open session and returns the parents to offer
// to the child if they changed. It refuses reports of sessions that ended and
// reports of a node other than the session's.
func (h *Host) Report(ctx context.Context, token string, report distribution.Report) ([]stream.Parent, error) {
	var offered []stream.Parent
	var refused error
	err := h.submitAndWait(ctx, func(now time.Time) control.Outputs {
		var outputs control.Outputs
		outputs, offered, refused = h.report(now, token, report)
		return outputs
	})
	if err != nil {
		return nil, stopping()
	}
	return offered, refused
}

func (h *Host) report(now time.Time, token string, report distribution.Report) (control.Outputs, []stream.Parent, error) {
	id, known := h.byToken[token]
	if !known {
		return control.Outputs{}, nil, &stream.RefusedError{Status: http.StatusGone, Reason: "no such session"}
	}
	child := h.sessions[id]
	if report.Node.Name != child.node.Name || report.Node.Incarnation != child.node.Incarnation {
		return control.Outputs{}, nil, &stream.RefusedError{Status: http.StatusForbidden, Reason: "the report's node is not the session's"}
	}
	return h.core.Report(now, id, report), child.changedParents(), nil
}
