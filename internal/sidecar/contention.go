package sidecar

import (
	"time"

	"go.uber.org/zap"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/contention"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/hop"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/nested"
)

// recordLoad records the load that the back end reports. It reports whether requests compete for
// capacity; only then is the load taken into account.
func (s *Sidecar) recordLoad(load hop.BackendLoad) (contended bool) {
	if load.Factor > 0 && s.contention.SetShared() {
		s.logger.Info("the back end shares its machine", zap.Float64("factor", load.Factor), zap.Bool("overloadControl", s.contention.On()))
	}
	return s.contention.On()
}

// nestedClassifier recognizes the nested calls of back ends, but only where requests compete for
// capacity.
type nestedClassifier struct {
	contention *contention.Switch
	classifier *nested.Classifier
}

// Repeated implements egress.Nested.
func (n *nestedClassifier) Repeated(deadline time.Time) float64 {
	return n.classifier.Repeated(deadline)
}

// Possible implements egress.Nested.
func (n *nestedClassifier) Possible(deadline time.Time) bool { return n.classifier.Possible(deadline) }

// Nested implements egress.Nested.
func (n *nestedClassifier) Nested(route string, deadline time.Time, identified bool, now time.Time) bool {
	return n.contention.On() && n.classifier.Nested(route, deadline, identified, now)
}
