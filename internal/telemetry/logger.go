// Package telemetry holds what every process uses to be observed: JSON-lines
// logs with a bounded rate of repeated messages, a metrics registry and the
// admin listener.
package telemetry

import (
	"io"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/kestrelstream/kestrelstream/internal/settings"
)

// NewLogger returns a logger that writes one JSON object a line. Of one
// message at one level, at most RepeatBurst are written in each
// RepeatInterval; the registry counts the others.
func NewLogger(logging settings.Logging, node settings.Node, output io.Writer, registry prometheus.Registerer) (*zap.Logger, error) {
	level, err := zapcore.ParseLevel(logging.Level)
	if err != nil {
		return nil, trace.Wrap(err, "reading logging.level")
	}
	dropped := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "kestrel_log_dropped_total",
		Help: "Log messages left out since the same message was repeated too often.",
	}, []string{"level"})
	if err := registry.Register(dropped); err != nil {
		return nil, trace.Wrap(err, "registering kestrel_log_dropped_total")
	}
	core := zapcore.NewCore(zapcore.NewJSONEncoder(encoding()), zapcore.Lock(zapcore.AddSync(output)), level)
	const noneAfterTheBurst = 0
	bounded := zapcore.NewSamplerWithOptions(core, time.Duration(logging.RepeatInterval), logging.RepeatBurst,
		noneAfterTheBurst, zapcore.SamplerHook(countDropped(dropped)))
	return zap.New(bounded).With(zap.String("node", node.Name), zap.String("zone", node.Zone)), nil
}

func encoding() zapcore.EncoderConfig {
	config := zap.NewProductionEncoderConfig()
	config.TimeKey = "time"
	config.MessageKey = "message"
	config.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	config.EncodeDuration = zapcore.StringDurationEncoder
	return config
}

func countDropped(dropped *prometheus.CounterVec) func(zapcore.Entry, zapcore.SamplingDecision) {
	return func(entry zapcore.Entry, decision zapcore.SamplingDecision) {
		if decision&zapcore.LogDropped != 0 {
			dropped.WithLabelValues(entry.Level.String()).Inc()
		}
	}
}

// The fields of an error that are logged beside its text.
const (
	// StepField names the step at which an error arose.
	StepField = "step"
	// PeerField names the peer with which it arose.
	PeerField = "peer"
)

// Error returns the log field of an error: its text on one line and, where a
// trace carries them, its step and peer.
func Error(err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.Inline(loggedError{err})
}

type loggedError struct{ err error }

// MarshalLogObject writes the error's fields.
func (l loggedError) MarshalLogObject(encoder zapcore.ObjectEncoder) error {
	encoder.AddString("error", ErrorText(l.err))
	fields := trace.GetFields(l.err)
	for _, name := range []string{StepField, PeerField} {
		if value, isText := fields[name].(string); isText {
			encoder.AddString(name, value)
		}
	}
	return nil
}

// ErrorText returns an error's text on one line, the outermost step first.
func ErrorText(err error) string { return oneLine(err.Error()) }

func oneLine(text string) string {
	lines := strings.Split(text, "\n")
	for index, line := range lines {
		lines[index] = strings.TrimSpace(line)
	}
	return strings.Join(lines, ": ")
}
