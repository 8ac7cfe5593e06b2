package exchange

import (
	"compress/gzip"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/clock"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/configuration"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/contain"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/readers"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/roster"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/route"
)

// Behind catches up with a peer that has a newer configuration. A node that
// reads the store mostly hears from it within a short time; one that does not,
// from a peer of its zone. Then it takes it from this peer, and at last from the
// store: its calls are paid for.
func (e *Exchanger) Behind(peer *roster.Record, version uint64) {
	if peer == nil || version <= e.options.Configuration.Version() {
		return
	}
	e.news.hear(peer, version, e.options.Configuration.Version(), e.options.Logger)
	if !e.fetching.CompareAndSwap(false, true) {
		e.news.unheeded()
		return
	}
	go func() {
		defer e.fetching.Store(false)
		_ = contain.Run("peer's configuration", e.options.Logger, func() { e.catchUp(peer, version) })
	}()
}

func (e *Exchanger) catchUp(peer *roster.Record, version uint64) {
	held := e.options.Configuration
	reads := e.options.Reads()
	near := peer.Zone == e.options.Roster.Own().Zone
	if held.Version() > 0 {
		time.Sleep(catchUpDelay(reads, near))
	}
	if held.Version() >= version {
		return
	}
	began := clock.Now()
	err := e.fetch(peer)
	e.options.Logger.Info("configuration asked for", zap.String("peer", peer.Node), zap.Uint64("version", version),
		zap.Uint64("inForce", held.Version()), zap.Duration("elapsed", clock.Since(began)), zap.Error(err))
	if err == nil {
		if !near {
			e.tellZone()
		}
		return
	}
	e.options.Logger.Warn("configuration not fetched", zap.String("peer", peer.Node),
		zap.Uint64("version", version), zap.Uint64("inForce", held.Version()), zap.Error(err))
	e.refreshed(version)
}

// catchUpDelay is how long a node that is behind waits for what would come by
// itself.
func catchUpDelay(reads, near bool) time.Duration {
	switch {
	case reads:
		return watchDelay
	case near:
		return 0
	}
	return zoneDelay
}

// refreshed asks the store and reports whether the version is in force then.
func (e *Exchanger) refreshed(version uint64) bool {
	ctx, cancel := context.WithTimeout(context.Background(), refreshTimeout)
	defer cancel()
	err := e.options.Refresh(ctx)
	if e.options.Configuration.Version() >= version {
		return true
	}
	e.options.Logger.Warn("configuration behind a peer's", zap.Uint64("version", version),
		zap.Uint64("inForce", e.options.Configuration.Version()), zap.Error(err))
	return false
}

// fetch takes from the peer what leads from the version in force to its own, or
// the whole document when the peer does not know this node's.
func (e *Exchanger) fetch(peer *roster.Record) error {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	held := e.options.Configuration
	err := e.advance(ctx, peer, held.Version())
	if errors.Is(err, route.ErrBase) {
		err = e.advance(ctx, peer, 0)
	}
	if errors.Is(err, configuration.ErrNotNewer) {
		return nil
	}
	return trace.Wrap(err, "fetch configuration")
}

// advance asks the peer for what follows on a version and puts it in force.
func (e *Exchanger) advance(ctx context.Context, peer *roster.Record, after uint64) error {
	url := "http://" + peer.PeerAddress + PathRoot + pathConfiguration + "?" + queryAfter + "=" + strconv.FormatUint(after, 10)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	req.Header.Set(headerAccept, compression)
	resp, err := e.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	body, err := plainBody(resp)
	if err != nil {
		return err
	}
	change := &route.Change{}
	if err := json.NewDecoder(io.LimitReader(body, documentBytes)).Decode(change); err != nil {
		return err
	}
	return e.options.Configuration.Advance(change)
}

// plainBody returns the body of an answer that may be compressed.
func plainBody(resp *http.Response) (io.Reader, error) {
	if resp.Header.Get(headerEncoding) != compression {
		return resp.Body, nil
	}
	return gzip.NewReader(resp.Body)
}

// Announce tells others that this node has read a newer configuration: the nodes
// of its zone that take it from here, and one of each other zone, should none of
// its nodes reach the store.
func (e *Exchanger) Announce() {
	own, view := e.options.Roster.Own(), e.options.Roster.View()
	told := e.peersOf(readers.Told(view, own, e.Usable))
	for _, zone := range view.Zones() {
		if peers := e.peersOf(view.Zone(zone)); zone != own.Zone && len(peers) > smallZone {
			told = append(told, peers[rand.N(len(peers))])
		}
	}
	e.tellAll(told, own)
}

// tellZone tells some nodes of the own zone of the version in force.
func (e *Exchanger) tellZone() {
	own := e.options.Roster.Own()
	peers := shuffled(e.peersOf(e.options.Roster.View().Zone(own.Zone)))
	e.tellAll(peers[:min(len(peers), relayPeers)], own)
}
