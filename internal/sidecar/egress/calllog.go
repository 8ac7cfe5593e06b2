package egress

import (
	"net/http"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/kestrelstream/kestrelstream/internal/proxy/outcome"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/clock"
)

// reportEnd reports the result of the call to the observer and the log.
func (c *call) reportEnd() {
	name := ""
	if c.route != nil {
		name = c.route.Name
	}
	elapsed := clock.Since(c.started)
	if c.failure != nil {
		c.handler.options.Observer.CallEnded(name, c.status, c.failure.Outcome, c.failure.Step, elapsed)
		if c.failure.Outcome == outcome.NotRun {
			c.handler.options.Observer.CallNotRun(c.failure.Evidence)
		}
	} else {
		c.handler.options.Observer.CallEnded(name, c.status, "", "", elapsed)
	}
	if entry := c.logEntry(); entry != nil {
		entry.Write(c.logFields(name, elapsed)...)
	}
}

// logEntry returns the log entry of the call, or nil when it is not logged: successful calls are
// sampled.
func (c *call) logEntry() *zapcore.CheckedEntry {
	logger := c.handler.options.Logger
	switch {
	case c.failure != nil:
		return logger.Check(zap.InfoLevel, "call failed")
	case c.status >= http.StatusInternalServerError:
		return logger.Check(zap.InfoLevel, "back end failed the call")
	}
	return c.handler.servedLogger.Check(zap.InfoLevel, "call served")
}

// logFields returns the inputs of the decisions on the call, and its outcome.
func (c *call) logFields(name string, elapsed time.Duration) []zap.Field {
	options := &c.handler.options
	priority := -1
	if c.route != nil {
		priority = c.priority()
	}
	fields := []zap.Field{
		zap.String("request", c.request.Header.Get(options.Vocabulary.RequestID)),
		zap.String("caller", c.request.RemoteAddr),
		zap.String("route", name), zap.Int("priority", priority), zap.String("tenant", c.tenantName()),
		zap.Uint64("version", c.table.Version()), zap.Duration("versionAge", options.TableAge()),
		zap.Bool("returning", c.returning), zap.Bool("nested", c.nested), zap.Bool("overShare", c.overShare), zap.Int("status", c.status),
		zap.Array("visits", c.attempts), zap.Duration("elapsed", elapsed),
	}
	if !c.deadline.IsZero() {
		fields = append(fields, zap.Duration("left", clock.Until(c.deadline)))
	}
	if c.body != nil {
		print := c.print()
		fields = append(fields, zap.Stringer("content", print.Content), zap.Stringer("call", print.Call))
	}
	if c.failure == nil {
		return fields
	}
	fields = append(fields,
		zap.String("outcome", string(c.failure.Outcome)), zap.Stringer("evidence", c.failure.Evidence),
		zap.String("step", string(c.failure.Step)),
		zap.String("peer", c.failure.Peer), zap.Bool("callerGone", c.request.Context().Err() != nil),
		zap.NamedError("cause", c.failure.Cause),
	)
	if age, proven := options.Freshness.ProofAge(); proven {
		fields = append(fields, zap.Duration("proofAge", age))
	}
	if c.service != "" {
		fields = append(fields, zap.Float64("budgetLeft", c.handler.options.RetryBudget.Remaining(c.service)))
	}
	return fields
}
