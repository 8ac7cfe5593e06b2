package ingress

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/kestrelstream/kestrelstream/internal/proxy/outcome"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/clock"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/contain"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/hop"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/route"
)

var errCold = errors.New("the back end is, or may be, cold and has got what it bears")

// healthTimeout bounds the question whether the back end is cold: it is on the same machine,
// and answers at once or waits for a slot.
const healthTimeout = 300 * time.Millisecond

// SetService takes in what the configuration says of the back end's service, nil for nothing.
func (h *Handler) SetService(service *route.Service) {
	if service == nil {
		return
	}
	h.SetConnections(service.MaximumConnections)
	h.health.Store(&service.HealthPath)
	h.warmup.Configure(service.WarmupRate, service.WarmupTime)
}

// SetWarmupRemaining takes in the back end's word that it is cold for that much longer.
func (h *Handler) SetWarmupRemaining(left time.Duration) { h.warmup.Told(left, clock.Now()) }

// MarkPossiblyCold takes in that the back end may have turned cold unheard.
func (h *Handler) MarkPossiblyCold() { h.warmup.Suspect(clock.Now()) }

// checkWarmup refuses a request that a cold back end would not checkWarmup. It has not run.
func (a *arrival) checkWarmup() *outcome.Failure {
	verdict := a.handler.warmup.Admit(clock.Now())
	if verdict.Ask {
		go func() { _ = contain.Run("health", a.handler.options.Logger, a.handler.askHealth) }()
	}
	if !verdict.Refused {
		return nil
	}
	return outcome.Refusal(http.StatusServiceUnavailable, outcome.StepWarmup, max(verdict.Wait, defaultRetryAfter/2), errCold)
}

// newHealthClient returns the client of the back end's health path. Each question has a
// connection of its own: those of requests tell nothing of a process that was replaced.
func newHealthClient(dial func(ctx context.Context, network, address string) (net.Conn, error)) *http.Client {
	return &http.Client{
		Timeout:   healthTimeout,
		Transport: &http.Transport{DialContext: dial, DisableKeepAlives: true, DisableCompression: true},
	}
}

// askHealth asks the back end for how much longer it is cold. Without an answer of the back
// end that is meant nothing is known.
func (h *Handler) askHealth() {
	path, endpoint := h.health.Load(), h.options.Endpoint()
	if path == nil || *path == "" || endpoint == nil {
		return
	}
	asked := clock.Now()
	response, err := h.healthClient.Get("http://" + h.options.Address + *path)
	if err != nil {
		h.options.Logger.Info("back end's health not known", zap.String("endpoint", endpoint.ID), zap.Error(err))
		return
	}
	_ = response.Body.Close()
	names := &h.options.Vocabulary
	left, reported := hop.ParseMilliseconds(response.Header.Get(names.WarmupLeft))
	if found := response.Header.Get(names.InstanceID); found != endpoint.ID {
		h.options.Logger.Info("health of another back end", zap.String("endpoint", endpoint.ID), zap.String("found", found))
		return
	}
	h.applyHealthNotice(response.Header, endpoint, asked)
	if reported || response.StatusCode == http.StatusOK {
		h.warmup.Answer(left, asked, clock.Now())
		h.options.Logger.Info("back end asked whether it is cold", zap.String("endpoint", endpoint.ID), zap.Duration("left", left))
	}
}
