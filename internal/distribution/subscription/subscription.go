// Package subscription runs a proxy's subscriber core: one goroutine owns the
// core and carries out its outputs.
package subscription

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/kestrelstream/kestrelstream/internal/distribution"
	"github.com/kestrelstream/kestrelstream/internal/distribution/stream"
	"github.com/kestrelstream/kestrelstream/internal/distribution/subscriber"
	"github.com/kestrelstream/kestrelstream/internal/endpoint"
	"github.com/kestrelstream/kestrelstream/internal/telemetry"
)

// inputQueue is how many inputs may wait for the loop; further ones block
// their senders.
const inputQueue = 64

// Outcome says what became of received content.
type Outcome struct {
	// Applied is the version in force; zero when there was no content.
	Applied uint64
	// Failure, when set, says why content was refused.
	Failure *distribution.ApplyFailure
}

// Sink takes what a stream brings. Take is called by one goroutine.
type Sink interface {
	Take(ctx context.Context, received subscriber.Outputs) Outcome
}

// Rank orders the parents that a parent named, and those known from the start,
// most preferred first.
type Rank func(offered []stream.Parent) []subscriber.Parent

// input is one step of the core, run on the loop's goroutine.
type input func(now time.Time) subscriber.Outputs

// Subscription runs one subscriber core. Its methods are safe for concurrent
// use.
type Subscription struct {
	client *stream.Client
	// rank is nil when what parents name is ignored.
	rank   Rank
	sink   Sink
	logger *zap.Logger
	inputs chan input
	// changed gathers new states of the process's own endpoints.
	changed *endpointBox
	// stopped is closed when the loop has ended.
	stopped chan struct{}

	// The fields below are owned by the loop's goroutine.
	core *subscriber.Core
	// link is the attempt or stream; nil while there is none. attempt numbers
	// the links.
	link    *stream.Link
	attempt uint64
}

// New returns a subscription around a core; Run starts it.
func New(core *subscriber.Core, client *stream.Client, sink Sink, logger *zap.Logger) *Subscription {
	return &Subscription{
		client:  client,
		sink:    sink,
		logger:  logger,
		inputs:  make(chan input, inputQueue),
		changed: newEndpointBox(),
		stopped: make(chan struct{}),
		core:    core,
	}
}

// Run runs the core until ctx ends; then the stream is closed.
func (s *Subscription) Run(ctx context.Context) error {
	defer close(s.stopped)
	defer s.disconnect()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		resetTimer(timer, s.core.NextTick())
		select {
		case <-ctx.Done():
			return nil
		case step := <-s.inputs:
			s.carryOut(ctx, step(time.Now()))
		case <-s.changed.filled:
			s.carryOut(ctx, s.core.EndpointChanged(time.Now(), s.changed.take()))
		case <-timer.C:
			s.carryOut(ctx, s.core.Tick(time.Now()))
		}
	}
}

// resetTimer arms the timer for the next tick; without one it stays unarmed.
func resetTimer(timer *time.Timer, next time.Time) {
	timer.Stop()
	if !next.IsZero() {
		timer.Reset(time.Until(next))
	}
}

// Parents replaces the candidates, most preferred first.
func (s *Subscription) Parents(ctx context.Context, parents []subscriber.Parent) error {
	return s.submit(ctx, func(now time.Time) subscriber.Outputs { return s.core.Parents(now, parents) })
}

// FollowOffers has the candidates replaced whenever a parent names others. It is
// called before Run.
func (s *Subscription) FollowOffers(rank Rank) { s.rank = rank }

// EndpointChanged reports a change of an endpoint that this process is the
// authority of. It never blocks.
func (s *Subscription) EndpointChanged(update endpoint.Update) { s.changed.put(update) }

// Status is what a subscription shows of itself.
type Status struct {
	Parent   string              `json:"parent"`
	Address  string              `json:"address,omitempty"`
	Attached bool                `json:"attached"`
	Source   distribution.Source `json:"source"`
	Applied  uint64              `json:"applied"`
}

// Status returns the present state, or the zero value once Run ended.
func (s *Subscription) Status() Status {
	answer := make(chan Status, 1)
	err := s.submit(context.Background(), func(time.Time) subscriber.Outputs {
		parent, attached := s.core.Parent()
		answer <- Status{
			Parent: parent.Node, Address: parent.Address, Attached: attached,
			Source: s.core.Source(), Applied: s.core.Version(),
		}
		return subscriber.Outputs{}
	})
	if err != nil {
		return Status{}
	}
	select {
	case status := <-answer:
		return status
	case <-s.stopped:
		return Status{}
	}
}

// errStopped says that the loop has ended.
var errStopped = errors.New("subscription: stopped")

func (s *Subscription) submit(ctx context.Context, step input) error {
	select {
	case s.inputs <- step:
		return nil
	case <-s.stopped:
		return errStopped
	case <-ctx.Done():
		return ctx.Err()
	}
}

// carryOut does what the core asked for. Taking content in gives the core a
// further input, whose outputs are carried out in turn.
func (s *Subscription) carryOut(ctx context.Context, outputs subscriber.Outputs) {
	if outputs.Disconnect {
		s.disconnect()
	}
	if outputs.LostParent != "" {
		s.logger.Info("parent lost", zap.String(telemetry.PeerField, outputs.LostParent))
	}
	if outputs.AttachedTo != "" {
		s.logger.Info("attached to parent", zap.String(telemetry.PeerField, outputs.AttachedTo))
	}
	if outputs.Connect != nil {
		s.connect(ctx, *outputs.Connect)
	}
	if outputs.Report != nil && s.link != nil {
		s.link.Report(*outputs.Report)
	}
	outcome := s.sink.Take(ctx, outputs)
	switch {
	case outcome.Failure != nil:
		s.logger.Error("configuration refused", zap.Uint64("version", outcome.Failure.Version),
			zap.String(telemetry.StepField, outcome.Failure.Step), zap.String("reason", outcome.Failure.Reason))
		s.carryOut(ctx, s.core.ApplyFailed(time.Now(), *outcome.Failure))
	case outcome.Applied > 0:
		s.carryOut(ctx, s.core.Applied(time.Now(), outcome.Applied))
	}
}
