package sidecar

import (
	"context"

	"go.uber.org/zap"
)

// handleStoreRestore takes in that the store has come back from an older copy: what the node had written
// there may be gone, and revisions count in another era. What operators and back ends have written
// is written again by these.
func (s *Sidecar) handleStoreRestore(era uint64) {
	s.logger.Warn("store came back from a copy", zap.Uint64("era", era), zap.Uint64("inForce", s.keeper.Version()))
	s.membership.Restored()
	s.rollouts.Restored()
	go s.broadcastRecord(context.Background())
}
