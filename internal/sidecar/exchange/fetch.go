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

// fetch requests from the peer the change from the version in force to the peer's, or
// the whole document when the peer does not know this node's version, and puts it in
// force. onData is called whenever data arrives.
func (e *Exchanger) fetch(ctx context.Context, peer *roster.Record, onData func()) error {
	err := e.fetchChange(ctx, peer, e.options.Configuration.Version(), onData)
	if errors.Is(err, route.ErrBaseMismatch) {
		err = e.fetchChange(ctx, peer, 0, onData)
	}
	if errors.Is(err, configuration.ErrNotNewer) {
		return nil
	}
	return trace.Wrap(err, "fetch configuration from %s", peer.Node)
}

// fetchChange requests the change from a version from the peer and puts it in force.
func (e *Exchanger) fetchChange(ctx context.Context, peer *roster.Record, after uint64, onData func()) error {
	resp, err := e.get(ctx, peer, pathConfiguration+"?"+queryAfter+"="+strconv.FormatUint(after, 10))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	onData()
	body, err := decodedBody(resp, onData)
	if err != nil {
		return err
	}
	change := &route.Change{}
	if err := json.NewDecoder(io.LimitReader(body, maxDocumentBytes)).Decode(change); err != nil {
		return err
	}
	return e.options.Configuration.ApplyChange(change)
}

// get requests a path from a peer. On success the caller closes the body of the response.
func (e *Exchanger) get(ctx context.Context, peer *roster.Record, path string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+peer.PeerAddress+PathRoot+path, nil)
	if err != nil {
		return nil, err
	}
	req.Header.Set(headerAcceptEncoding, encoded.ContentCoding)
	return e.do(req)
}

// decodedBody returns the body of a response, decompressed when it is compressed.
func decodedBody(resp *http.Response, onData func()) (io.Reader, error) {
	return encoded.Reader(resp.Header, &progressReader{Reader: resp.Body, onData: onData})
}

// progressReader calls onData whenever it reads data.
type progressReader struct {
	io.Reader
	onData func()
}

// Read implements io.Reader.
func (r *progressReader) Read(data []byte) (int, error) {
	count, err := r.Reader.Read(data)
	if count > 0 {
		r.onData()
	}
	return count, err
}
