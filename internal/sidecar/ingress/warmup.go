package ingress

import (
	"context"
	"errors"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/kestrelstream/kestrelstream/internal/proxy/forward"
	"github.com/kestrelstream/kestrelstream/internal/proxy/outcome"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/clock"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/contain"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/hop"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/route"
)

var errCold = errors.New("the warm-up rate of a back end that is, or may be, cold is used up")

// healthTimeout bounds the health check. The back end is on the same machine and answers at once or
// waits for a slot.
const healthTimeout = 300 * time.Millisecond

// SetService applies the configuration of the back end's service, nil for none.
func (h *Handler) SetService(service *route.Service) {
	if service == nil {
		return
	}
	h.SetConnections(service.MaximumConnections)
	h.health.Store(&service.HealthPath)
	h.warmup.Configure(service.WarmupRate, service.WarmupTime)
}

// SetWarmupRemaining records the remaining warm-up time that the back end reports.
func (h *Handler) SetWarmupRemaining(left time.Duration) { h.warmup.ExtendWarmup(left, clock.Now()) }

// MarkPossiblyCold records that the back end may have restarted cold without a report.
func (h *Handler) MarkPossiblyCold() { h.warmup.SuspectCold(clock.Now()) }

// checkWarmup refuses a request that exceeds the capacity of a cold back end. It was not run.
func (a *arrival) checkWarmup() *outcome.Failure {
	verdict := a.handler.warmup.Admit(clock.Now())
	if verdict.Probe {
		go func() { _ = contain.Run("health", a.handler.options.Logger, a.handler.askHealth) }()
	}
	if !verdict.Refused {
		return nil
	}
	return outcome.Refusal(http.StatusServiceUnavailable, outcome.StepWarmup, max(verdict.RetryAfter, defaultRetryAfter/2), errCold)
}

// maxHealthChecks bounds the health checks in progress.
const maxHealthChecks = 4

// newHealthPool returns the connections for the back end's health check. Each check has one of its
// own, since a kept one could belong to a process that was replaced.
func (h *Handler) newHealthPool() *forward.Pool {
	return forward.NewPool(h.options.Address, forward.Limits{
		Connections:        maxHealthChecks,
		DialTimeout:        healthTimeout,
		ReplyHeaderBytes:   replyHeaderBytes,
		ReplyHeaderTimeout: healthTimeout,
		InterimReplies:     interimReplies,
		AllowUnframed:      true,
		OnInvalid:          h.recordInvalid,
	}, h.options.Dial)
}

// checkHealth sends a health check. The answer's body is not read.
func (h *Handler) checkHealth(ctx context.Context, path string) (*http.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.options.Address+path, nil)
	if err != nil {
		return nil, err
	}
	request.Close = true
	response, err := h.healthPool.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	return response, response.Body.Close()
}

// askHealth asks the back end for its remaining warm-up time. An answer of another instance is
// ignored.
func (h *Handler) askHealth() {
	path, endpoint := h.health.Load(), h.options.Endpoint()
	if path == nil || *path == "" || endpoint == nil {
		return
	}
	asked := clock.Now()
	response, err := h.checkHealth(context.Background(), *path)
	if err != nil {
		h.options.Logger.Info("back end's health not known", zap.String("endpoint", endpoint.ID), zap.Error(err))
		return
	}
	names := &h.options.Vocabulary
	left, reported := hop.ParseMilliseconds(response.Header.Get(names.WarmupLeft))
	if found := response.Header.Get(names.InstanceID); found != endpoint.ID {
		h.options.Logger.Info("health of another back end", zap.String("endpoint", endpoint.ID), zap.String("found", found))
		return
	}
	h.applyHealthNotice(response.Header, endpoint, asked)
	if reported || response.StatusCode == http.StatusOK {
		h.warmup.SetProbeResult(left, asked, clock.Now())
		h.options.Logger.Info("back end asked whether it is cold", zap.String("endpoint", endpoint.ID), zap.Duration("left", left))
	}
}
