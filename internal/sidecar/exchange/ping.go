package exchange

import (
	"context"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/clock"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/roster"
)

// Ping checks whether a peer responds. A second request follows the first after half of
// the time-out, since one may be lost on the way.
func (e *Exchanger) Ping(ctx context.Context, peer *roster.Record) error {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	answers := make(chan error, pingAttempts)
	for attempt := range pingAttempts {
		go func() {
			timer := clock.NewTimer(time.Duration(attempt) * pingTimeout / pingAttempts)
			defer timer.Stop()
			select {
			case <-timer.C:
				answers <- e.ping(ctx, peer)
			case <-ctx.Done():
				answers <- ctx.Err()
			}
		}()
	}
	var failed error
	for range pingAttempts {
		err := <-answers
		if err == nil {
			return nil
		}
		failed = err
	}
	return failed
}

func (e *Exchanger) ping(ctx context.Context, peer *roster.Record) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+peer.PeerAddress+PathRoot+pathPing, nil)
	if err != nil {
		return trace.Wrap(err, "ping %s", peer.Node)
	}
	answer, err := e.do(request)
	if err != nil {
		return trace.Wrap(err, "ping %s", peer.Node)
	}
	_ = answer.Body.Close()
	return nil
}
