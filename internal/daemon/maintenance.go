package daemon

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/kestrelstream/kestrelstream/internal/resource"
	"github.com/kestrelstream/kestrelstream/internal/store/versionlog"
	"github.com/kestrelstream/kestrelstream/internal/telemetry"
)

const (
	// maintenanceInterval is the time between two looks at whether the log
	// needs a checkpoint.
	maintenanceInterval = 15 * time.Second
	// maintenanceTimeout bounds one checkpoint with its trim.
	maintenanceTimeout = 30 * time.Second
	// trimLimit bounds the keys that one maintenance deletes.
	trimLimit = 1024
)

// maintainer stores checkpoints of the log and trims it while this daemon
// holds a reader slot. The slot only bounds how many do so at once: late or
// doubled maintenance does no harm.
type maintainer struct {
	log    *versionlog.Log
	state  func() *resource.State
	holds  func() bool
	every  uint64
	logger *zap.Logger
}

// run looks after the log until the context ends.
func (m *maintainer) run(ctx context.Context) {
	looks := time.NewTicker(maintenanceInterval)
	defer looks.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-looks.C:
			m.maintain(ctx)
		}
	}
}

func (m *maintainer) maintain(ctx context.Context) {
	state := m.state()
	if state == nil || !m.holds() {
		return
	}
	bounded, cancel := context.WithTimeout(ctx, maintenanceTimeout)
	defer cancel()
	done, err := m.log.Maintain(bounded, state, m.every, trimLimit)
	if err != nil {
		m.logger.Warn("log not maintained", zap.String(telemetry.StepField, "maintain"), telemetry.Error(err))
		return
	}
	if done.Checkpointed {
		m.logger.Info("checkpoint stored", zap.Uint64("version", state.Version()), zap.Int("trimmed", done.Trimmed))
	}
}
