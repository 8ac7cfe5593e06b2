package subscription

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/kestrelstream/kestrelstream/internal/distribution"
	"github.com/kestrelstream/kestrelstream/internal/distribution/stream"
	"github.com/kestrelstream/kestrelstream/internal/distribution/subscriber"
	"github.com/kestrelstream/kestrelstream/internal/telemetry"
)

// connect closes the current link and starts a new attempt. Events of a link
// that is no longer the current one are dropped.
func (s *Subscription) connect(ctx context.Context, request subscriber.Connect) {
	s.disconnect()
	s.attempt++
	attempt, peer := s.attempt, zap.String(telemetry.PeerField, request.Parent.Node)
	submitForAttempt := func(next input) { s.submitForAttempt(ctx, attempt, next) }
	s.link = s.client.Link(ctx, request.Parent.Address, request.Hello, stream.LinkEvents{
		Connected: func() { submitForAttempt(s.core.Connected) },
		ParentsAdvertised: func(advertised []stream.Parent) {
			if s.rank != nil {
				submitForAttempt(func(now time.Time) subscriber.Outputs { return s.core.Parents(now, s.rank(advertised)) })
			}
		},
		Received: func(message *distribution.Message) {
			submitForAttempt(func(now time.Time) subscriber.Outputs { return s.core.Received(now, message) })
		},
		Refused: func(refused *stream.RefusedError) {
			s.logger.Info("refused by parent", peer, telemetry.Error(refused))
			submitForAttempt(func(now time.Time) subscriber.Outputs { return s.core.Refused(now, refused.RetryAfter) })
		},
		Lost: func(err error) {
			s.logger.Info("stream failed", peer, telemetry.Error(err))
			submitForAttempt(func(now time.Time) subscriber.Outputs { return s.core.Disconnected(now, err) })
		},
	})
}

// disconnect closes the current link, if any.
func (s *Subscription) disconnect() {
	if s.link != nil {
		s.link.Close()
		s.link = nil
	}
}

// submitForAttempt submits an input that is skipped when the attempt it belongs
// to is no longer the current one.
func (s *Subscription) submitForAttempt(ctx context.Context, attempt uint64, next input) {
	_ = s.submit(ctx, func(now time.Time) subscriber.Outputs {
		if s.link == nil || s.attempt != attempt {
			return subscriber.Outputs{}
		}
		return next(now)
	})
}
