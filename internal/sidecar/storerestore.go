package sidecar

import (
	"context"

	"go.uber.org/zap"
)

// handleStoreRestore handles that the store was restored from an older copy: what the node had
// written may be gone, and revisions belong to another era. Operators and back ends write their own
// data again.
func (s *Sidecar) handleStoreRestore(era uint64) {
	s.logger.Warn("store came back from a copy", zap.Uint64("era", era), zap.Uint64("inForce", s.keeper.Version()))
	s.membership.Restored()
	s.rollouts.Restored()
	go s.broadcastRecord(context.Background())
}
