// Package controlhost runs the core of a control daemon. One goroutine owns the
// core, processes inputs from children, parents, peers and the store, and performs
// the core's outputs.
package controlhost

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/kestrelstream/kestrelstream/internal/distribution"
	"github.com/kestrelstream/kestrelstream/internal/distribution/control"
	"github.com/kestrelstream/kestrelstream/internal/distribution/relay"
	"github.com/kestrelstream/kestrelstream/internal/distribution/stream"
	"github.com/kestrelstream/kestrelstream/internal/membership"
	"github.com/kestrelstream/kestrelstream/internal/resource"
)

// inputQueueLength is the capacity of the loop's input queue. Further inputs block
// their senders, each of which is a goroutine of one session, link or request.
const inputQueueLength = 256

// ErrStopped is returned when the host is no longer running.
var ErrStopped = errors.New("controlhost: stopped")

// input is one call of the core; it runs on the loop's goroutine.
type input func(now time.Time) control.Outputs

// Host runs one control core. Its methods are safe for concurrent use.
type Host struct {
	logger *zap.Logger
	client *stream.Client
	store  *storeOperations
	inputs chan input
	// stopped is closed when the loop has ended.
	stopped chan struct{}
	state   atomic.Pointer[resource.State]
	history *history
	members *MemberList

	// The fields below are owned by the loop's goroutine.
	core          *control.Core
	local         *localChild
	holdsSlot     bool
	encodingCache *stream.EncodingCache
	sessions      map[relay.SessionID]*session
	byToken       map[string]relay.SessionID
	lastSession   relay.SessionID
	links         map[string]*uplink
	// stopping is set once a planned stop began; new children are then
	// refused. drained is closed once the last attached child has left.
	stopping bool
	drained  chan struct{}
}

// Dependencies holds the components that New builds a host from.
type Dependencies struct {
	Core        *control.Core
	Node        distribution.Node
	Client      *stream.Client
	Log         Log
	ReaderSlots ReaderSlots
	Roster      *membership.Roster
	// Members receives the control daemons known to the host.
	Members *MemberList
	// HistoryLength is the minimum number of entries kept for watches.
	HistoryLength int
	Logger        *zap.Logger
}

// New returns a host that Run starts.
func New(parts Dependencies) *Host {
	host := &Host{
		logger:        parts.Logger,
		client:        parts.Client,
		inputs:        make(chan input, inputQueueLength),
		stopped:       make(chan struct{}),
		history:       newHistory(parts.HistoryLength),
		members:       parts.Members,
		core:          parts.Core,
		encodingCache: stream.NewEncodingCache(),
		sessions:      map[relay.SessionID]*session{},
		byToken:       map[string]relay.SessionID{},
		links:         map[string]*uplink{},
		drained:       make(chan struct{}),
	}
	host.store = &storeOperations{host: host, log: parts.Log, slots: parts.ReaderSlots}
	host.local = newLocalChild(host, parts.Node, parts.Roster)
	host.state.Store(parts.Core.State())
	return host
}

// Run runs the core until ctx is done, then closes every stream.
func (h *Host) Run(ctx context.Context) error {
	defer h.closeAll()
	defer close(h.stopped)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	h.performOutputs(ctx, h.core.Start(time.Now()))
	for {
		resetTimer(timer, earliest(h.core.NextTick(), h.local.next()))
		select {
		case <-ctx.Done():
			return nil
		case step := <-h.inputs:
			h.performOutputs(ctx, step(time.Now()))
		case <-timer.C:
			h.performOutputs(ctx, h.core.Tick(time.Now()))
		}
	}
}

// resetTimer sets the timer for the next tick, or stops it if next is zero.
func resetTimer(timer *time.Timer, next time.Time) {
	timer.Stop()
	if !next.IsZero() {
		timer.Reset(time.Until(next))
	}
}

// performOutputs performs the core's outputs and then updates the daemon's own
// membership.
func (h *Host) performOutputs(ctx context.Context, outputs control.Outputs) {
	h.performCoreOutputs(ctx, outputs)
	h.local.step(ctx, time.Now())
}

func (h *Host) performCoreOutputs(ctx context.Context, outputs control.Outputs) {
	h.publish(nil)
	for _, send := range outputs.Sends {
		h.send(send)
	}
	for _, refusal := range outputs.Refusals {
		h.refuse(refusal)
	}
	for _, id := range outputs.Closes {
		h.closeSession(id)
	}
	for _, uplink := range outputs.Uplinks {
		h.performUplinkOutput(ctx, uplink)
	}
	if outputs.CancelWatch {
		h.store.cancelWatch()
	}
	for _, request := range outputs.Store {
		h.store.perform(ctx, request, h.core.State().Version())
	}
	h.logRoleChange()
}

// publish makes the newest configuration visible to readers of State and to
// watches. Entries are the known entries that led to it; they may be incomplete.
func (h *Host) publish(entries []resource.Entry) {
	state := h.core.State()
	h.state.Store(state)
	h.history.advance(state.Version(), entries)
}

func (h *Host) logRoleChange() {
	if h.holdsSlot == h.core.HoldsReaderSlot() {
		return
	}
	h.holdsSlot = h.core.HoldsReaderSlot()
	if h.holdsSlot {
		h.logger.Info("store reader slot acquired")
		return
	}
	h.logger.Info("store reader slot lost or released")
}

// send queues a message for its session. The core keeps at most one message in
// flight per session; a session for which a second one arrives is closed.
func (h *Host) send(send relay.Send) {
	if send.Session == h.local.id {
		h.local.receive(send.Message)
		return
	}
	session := h.sessions[send.Session]
	if session == nil {
		return
	}
	select {
	case session.messages <- h.encodingCache.Encode(send.Message):
	default:
		h.logger.Error("closing session: previous message still in flight", zap.String("peer", session.node.Name))
		h.closeSession(send.Session)
	}
}

func (h *Host) refuse(refusal relay.Refusal) {
	session := h.sessions[refusal.Session]
	if session == nil {
		return
	}
	session.refusal = &stream.RefusedError{
		Status:     http.StatusServiceUnavailable,
		Reason:     string(refusal.Reason),
		RetryAfter: refusal.RetryAfter,
	}
	h.closeSession(refusal.Session)
}

// closeSession ends a session's stream.
func (h *Host) closeSession(id relay.SessionID) {
	h.local.sessionClosed(id)
	session := h.sessions[id]
	if session == nil {
		return
	}
	delete(h.sessions, id)
	delete(h.byToken, session.token)
	close(session.messages)
	h.signalDrained()
}

func (h *Host) closeAll() {
	h.closeSessions()
	for _, link := range h.links {
		link.link.Close()
	}
	h.store.cancelWatch()
	h.store.releases.Wait()
	h.client.CloseIdleConnections()
}

func (h *Host) closeSessions() {
	for id := range h.sessions {
		h.closeSession(id)
	}
}

// submit queues an input for the loop.
func (h *Host) submit(ctx context.Context, step input) error {
	select {
	case h.inputs <- step:
		return nil
	case <-h.stopped:
		return ErrStopped
	case <-ctx.Done():
		return ctx.Err()
	}
}

// submitAndWait queues an input and waits until the core has processed it.
func (h *Host) submitAndWait(ctx context.Context, step input) error {
	done := make(chan struct{})
	err := h.submit(ctx, func(now time.Time) control.Outputs {
		defer close(done)
		return step(now)
	})
	if err != nil {
		return err
	}
	select {
	case <-done:
		return nil
	case <-h.stopped:
		return ErrStopped
	case <-ctx.Done():
		return ctx.Err()
	}
}
