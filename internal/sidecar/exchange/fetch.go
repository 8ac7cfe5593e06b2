package exchange

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"

	"github.com/gravitational/trace"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/configuration"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/encoded"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/roster"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/route"
)

// fetch takes from the peer what leads from the version in force to its own, or
// the whole document when the peer does not know this node's. heard is called whenever
// something comes in.
func (e *Exchanger) fetch(ctx context.Context, peer *roster.Record, heard func()) error {
	err := e.advance(ctx, peer, e.options.Configuration.Version(), heard)
	if errors.Is(err, route.ErrBaseMismatch) {
		err = e.advance(ctx, peer, 0, heard)
	}
	if errors.Is(err, configuration.ErrNotNewer) {
		return nil
	}
	return trace.Wrap(err, "fetch configuration from %s", peer.Node)
}

// advance asks the peer for what follows on a version and puts it in force.
func (e *Exchanger) advance(ctx context.Context, peer *roster.Record, after uint64, heard func()) error {
	resp, err := e.get(ctx, peer, pathConfiguration+"?"+queryAfter+"="+strconv.FormatUint(after, 10))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	heard()
	body, err := plainBody(resp, heard)
	if err != nil {
		return err
	}
	change := &route.Change{}
	if err := json.NewDecoder(io.LimitReader(body, documentBytes)).Decode(change); err != nil {
		return err
	}
	return e.options.Configuration.Advance(change)
}

// get asks a peer for what lies under a path. The body of the response, which has status
// 200, is to be closed.
func (e *Exchanger) get(ctx context.Context, peer *roster.Record, path string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+peer.PeerAddress+PathRoot+path, nil)
	if err != nil {
		return nil, err
	}
	req.Header.Set(headerAccept, encoded.Compression)
	return e.do(req)
}

// plainBody returns the body of an answer that may be compressed.
func plainBody(resp *http.Response, heard func()) (io.Reader, error) {
	return encoded.Reader(resp.Header, &noticedReader{Reader: resp.Body, heard: heard})
}

// noticedReader tells whenever it brings something.
type noticedReader struct {
	io.Reader
	heard func()
}

// Read implements io.Reader.
func (r *noticedReader) Read(data []byte) (int, error) {
	count, err := r.Reader.Read(data)
	if count > 0 {
		r.heard()
	}
	return count, err
}
