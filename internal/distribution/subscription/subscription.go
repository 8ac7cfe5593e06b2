// Package subscription runs the subscriber core of a proxy: one goroutine owns
// the core, feeds it inputs and executes its outputs.
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

// inputQueueLength is the number of inputs that may wait for the loop; senders
// of further inputs block.
const inputQueueLength = 64

// Outcome is the result of handling the outputs of the core.
type Outcome struct {
	// Applied is the version in force after content was applied; zero when the
	// outputs held no content.
	Applied uint64
	// Failure describes why content could not be applied; nil on success.
	Failure *distribution.ApplyFailure
}

// Sink receives the outputs of the core. Handle is called from one goroutine
// only.
type Sink interface {
	Handle(ctx context.Context, outputs subscriber.Outputs) Outcome
}

// RankFunc returns the candidate parents, most preferred first: those that a
// parent advertised and those known from the start.
type RankFunc func(advertised []stream.Parent) []subscriber.Parent

// input is one call into the core, run on the loop's goroutine.
type input func(now time.Time) subscriber.Outputs

// Subscription runs one subscriber core. Its methods are safe for concurrent
// use.
type Subscription struct {
	client *stream.Client
	// rank is nil when advertised parents are ignored.
	rank   RankFunc
	sink   Sink
	logger *zap.Logger
	inputs chan input
	// changedEndpoints buffers state changes of the process's own endpoints.
	changedEndpoints *endpointBuffer
	// stopped is closed when the loop has ended.
	stopped chan struct{}

	// The fields below are owned by the loop's goroutine.
	core *subscriber.Core
	// link is the current attempt or open stream, or nil. attempt is the number
	// of the latest link.
	link    *stream.Link
	attempt uint64
}

// New returns a subscription that drives core; Run starts it.
func New(core *subscriber.Core, client *stream.Client, sink Sink, logger *zap.Logger) *Subscription {
	return &Subscription{
		client:           client,
		sink:             sink,
		logger:           logger,
		inputs:           make(chan input, inputQueueLength),
		changedEndpoints: newEndpointBuffer(),
		stopped:          make(chan struct{}),
		core:             core,
	}
}

// Run runs the core until ctx ends, then closes the stream.
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
		case next := <-s.inputs:
			s.execute(ctx, next(time.Now()))
		case <-s.changedEndpoints.available:
			s.execute(ctx, s.core.EndpointChanged(time.Now(), s.changedEndpoints.take()))
		case <-timer.C:
			s.execute(ctx, s.core.Tick(time.Now()))
		}
	}
}

// resetTimer sets the timer to the next tick, or stops it when next is zero.
func resetTimer(timer *time.Timer, next time.Time) {
	timer.Stop()
	if !next.IsZero() {
		timer.Reset(time.Until(next))
	}
}

// Parents replaces the candidate parents, most preferred first.
func (s *Subscription) Parents(ctx context.Context, parents []subscriber.Parent) error {
	return s.submit(ctx, func(now time.Time) subscriber.Outputs { return s.core.Parents(now, parents) })
}

// SetRankFunc makes the subscription replace its candidate parents with the
// result of rank whenever a parent advertises parents. It must be called before
// Run.
func (s *Subscription) SetRankFunc(rank RankFunc) { s.rank = rank }

// EndpointChanged reports a state change of an endpoint for which this process
// is authoritative. It never blocks.
func (s *Subscription) EndpointChanged(update endpoint.Update) { s.changedEndpoints.put(update) }

// Status describes the current parent and configuration of a subscription.
type Status struct {
	Parent   string              `json:"parent"`
	Address  string              `json:"address,omitempty"`
	Attached bool                `json:"attached"`
	Source   distribution.Source `json:"source"`
	Applied  uint64              `json:"applied"`
}

// Status returns the current status, or the zero value once Run has returned.
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

// errStopped is returned for inputs submitted after the loop has ended.
var errStopped = errors.New("subscription: stopped")

// submit queues an input for the loop. It blocks while the queue is full, until
// ctx ends or the loop stops.
func (s *Subscription) submit(ctx context.Context, next input) error {
	select {
	case s.inputs <- next:
		return nil
	case <-s.stopped:
		return errStopped
	case <-ctx.Done():
		return ctx.Err()
	}
}

// execute performs the outputs of the core. The outcome of applying content is
// a further input to the core, whose outputs are executed in turn.
func (s *Subscription) execute(ctx context.Context, outputs subscriber.Outputs) {
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
	outcome := s.sink.Handle(ctx, outputs)
	switch {
	case outcome.Failure != nil:
		s.logger.Error("configuration refused", zap.Uint64("version", outcome.Failure.Version),
			zap.String(telemetry.StepField, outcome.Failure.Step), zap.String("reason", outcome.Failure.Reason))
		s.execute(ctx, s.core.ApplyFailed(time.Now(), *outcome.Failure))
	case outcome.Applied > 0:
		s.execute(ctx, s.core.Applied(time.Now(), outcome.Applied))
	}
}
