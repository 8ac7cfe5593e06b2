package exchange

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/configuration"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/roster"
)

// Behind catches up with a peer that has a newer configuration: the store will
// mostly tell by itself within a short time; then it is asked, and at last the
// peer.
func (e *Exchanger) Behind(peer *roster.Record, version uint64) {
	if peer == nil || version <= e.options.Configuration.Version() || !e.fetching.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer e.fetching.Store(false)
		e.catchUp(peer, version)
	}()
}

func (e *Exchanger) catchUp(peer *roster.Record, version uint64) {
	held := e.options.Configuration
	if held.Version() > 0 {
		time.Sleep(catchUpDelay)
	}
	if held.Version() >= version {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), refreshTimeout)
	err := e.options.Refresh(ctx)
	cancel()
	if held.Version() >= version {
		return
	}
	e.options.Logger.Warn("configuration behind a peer's", zap.String("peer", peer.Node),
		zap.Uint64("version", version), zap.Uint64("inForce", held.Version()), zap.Error(err))
	if err := e.fetch(peer); err != nil {
		e.options.Logger.Warn("configuration not fetched", zap.String("peer", peer.Node),
			zap.Uint64("version", version), zap.Error(err))
	}
}

func (e *Exchanger) fetch(peer *roster.Record) error {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+peer.PeerAddress+PathRoot+pathConfiguration, nil)
	if err != nil {
		return trace.Wrap(err, "fetch configuration")
	}
	answer, err := e.client.Do(request)
	if err != nil {
		return trace.Wrap(err, "fetch configuration")
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return trace.Errorf("fetch configuration: status %d", answer.StatusCode)
	}
	raw, err := readDocument(answer)
	if err != nil {
		return trace.Wrap(err, "fetch configuration")
	}
	err = e.options.Configuration.Offer(raw, configuration.SourcePeer)
	if errors.Is(err, configuration.ErrNotNewer) {
		return nil
	}
	return err
}
