package exchange

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/clock"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/configuration"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/roster"
)

// news is what a node has heard of configurations above the one in force.
type news struct {
	mu sync.Mutex // guards all below
	// newest is the highest version heard of.
	newest uint64
	// since is when the node first heard that it is behind, from the node named first; zero
	// while it is not behind.
	since time.Time
	first string
	// passed counts what the node was told since then and did not act on.
	passed int
}

// hear notes that a peer holds a version above the one in force.
func (n *news) hear(peer *roster.Record, version, held uint64, logger *zap.Logger) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if version <= n.newest {
		return
	}
	n.newest = version
	if n.since.IsZero() {
		n.since, n.first = clock.Now(), peer.Node
	}
	logger.Info("newer configuration announced", zap.String("peer", peer.Node),
		zap.Uint64("version", version), zap.Uint64("inForce", held))
}

// unheeded notes that the node did not act on what it was told.
func (n *news) unheeded() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.passed++
}

// inForce notes a version that came into force, and logs how long it took since the node
// had first heard that there is one.
func (n *news) inForce(version uint64, source configuration.Source, logger *zap.Logger) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.since.IsZero() || version < n.newest {
		return
	}
	logger.Info("configuration caught up", zap.Uint64("version", version), zap.String("source", string(source)),
		zap.Duration("behind", clock.Since(n.since)), zap.String("first", n.first), zap.Int("unheeded", n.passed))
	n.since, n.first, n.passed = time.Time{}, "", 0
}
