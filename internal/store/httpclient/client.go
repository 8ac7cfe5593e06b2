// Package httpclient implements the store port over HTTP. It never claims more
// than it knows: only a refusal by the store itself, or a failure before a
// connection was had, means that a request was not run.
package httpclient

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/time/rate"

	"github.com/kestrelstream/kestrelstream/internal/roundtrip"
	"github.com/kestrelstream/kestrelstream/internal/store"
	"github.com/kestrelstream/kestrelstream/internal/store/wire"
	"github.com/kestrelstream/kestrelstream/internal/strictreply"
)

// Defaults of the client.
const (
	// DefaultTimeout bounds one request, watches excepted.
	DefaultTimeout = 2 * time.Second

	dialTimeout       = time.Second
	maximumIdle       = 4
	maximumErrorBytes = 64 << 10
)

// Options tune a client; the zero value is usable.
type Options struct {
	// Timeout bounds one request, watches excepted; zero means
	// DefaultTimeout.
	Timeout time.Duration
	// RequestsPerSecond bounds what this client asks of the store, with as much
	// again at once; zero means no bound. A request that can't have its turn
	// within its time fails at once with store.ErrRateLimited.
	RequestsPerSecond int
	// Dial replaces the way connections are made, for tests.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Client speaks to one store. It is safe for concurrent use.
type Client struct {
	address string
	timeout time.Duration
	limiter *rate.Limiter
	http    *http.Client
}

var _ store.Store = (*Client)(nil)

// New returns a client of the store at an address, host:port.
func New(address string, options Options) *Client {
	if options.Timeout <= 0 {
		options.Timeout = DefaultTimeout
	}
	if options.Dial == nil {
		options.Dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	transport := &http.Transport{
		DialContext:         options.Dial,
		MaxIdleConnsPerHost: maximumIdle,
		DisableCompression:  true,
	}
	return &Client{
		address: address,
		timeout: options.Timeout,
		limiter: newLimiter(options.RequestsPerSecond),
		http:    &http.Client{Transport: strictreply.NewTransport(transport)},
	}
}

func newLimiter(requestsPerSecond int) *rate.Limiter {
	if requestsPerSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(requestsPerSecond), requestsPerSecond)
}

// Close drops the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Get implements store.Reader.
func (c *Client) Get(ctx context.Context, key string) (store.KeyValue, error) {
	var found store.KeyValue
	err := c.call(ctx, "get", wire.PathGet, wire.GetRequest{Key: key}, &found)
	return found, err
}

// Range implements store.Reader.
func (c *Client) Range(ctx context.Context, prefix, from string, limit int) ([]store.KeyValue, uint64, error) {
	var found wire.RangeResponse
	err := c.call(ctx, "range", wire.PathRange, wire.RangeRequest{Prefix: prefix, From: from, Limit: limit}, &found)
	return found.KeyValues, found.Revision, err
}

// CompareAndSwap implements store.Writer.
func (c *Client) CompareAndSwap(ctx context.Context, swap store.Swap) (uint64, error) {
	var written wire.SwapResponse
	err := c.call(ctx, "swap", wire.PathSwap, swap, &written)
	return written.Revision, err
}

// Grant implements store.Leaser.
func (c *Client) Grant(ctx context.Context, timeToLive time.Duration) (store.Lease, error) {
	var lease store.Lease
	err := c.call(ctx, "grant", wire.PathGrant, wire.GrantRequest{TimeToLive: timeToLive}, &lease)
	return lease, err
}

// KeepAlive implements store.Leaser.
func (c *Client) KeepAlive(ctx context.Context, leaseID string) error {
	return c.call(ctx, "keep alive", wire.PathKeepAlive, wire.LeaseRequest{LeaseID: leaseID}, &wire.Empty{})
}

// Revoke implements store.Leaser.
func (c *Client) Revoke(ctx context.Context, leaseID string) error {
	return c.call(ctx, "revoke", wire.PathRevoke, wire.LeaseRequest{LeaseID: leaseID}, &wire.Empty{})
}

// call runs one request and reads its whole answer.
func (c *Client) call(ctx context.Context, step, path string, body, into any) error {
	bounded, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	response, err := c.send(bounded, path, body)
	if err != nil {
		return c.wrap(step, err)
	}
	defer response.Body.Close()
	if err := json.NewDecoder(response.Body).Decode(into); err != nil {
		return c.wrap(step, fmt.Errorf("%w: reading the answer: %w", store.ErrUnknownOutcome, err))
	}
	return nil
}

// send writes one request and returns its response when that is a success.
func (c *Client) send(ctx context.Context, path string, body any) (*http.Response, error) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	if err := c.takeTurn(ctx); err != nil {
		return nil, err
	}
	followed := &roundtrip.Trace{}
	request, err := http.NewRequestWithContext(followed.Attach(ctx), http.MethodPost, "http://"+c.address+path, bytes.NewReader(encoded))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Accept", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		return nil, classify(followed, err)
	}
	if response.StatusCode != http.StatusOK {
		defer response.Body.Close()
		return nil, refusal(response)
	}
	return response, nil
}

// takeTurn waits for the client's own rate.
func (c *Client) takeTurn(ctx context.Context) error {
	err := c.limiter.Wait(ctx)
	switch {
	case err == nil:
		return nil
	case ctx.Err() != nil:
		return fmt.Errorf("%w: %w", store.ErrUnavailable, err)
	default:
		return fmt.Errorf("%w: by this client: %w", store.ErrRateLimited, err)
	}
}

// wrap adds the step and the peer at which an error arose.
func (c *Client) wrap(step string, err error) error {
	return trace.Wrap(err, "step=store %s peer=%s", step, c.address)
}

// refusal turns an answer that is not a success into the port's error. An
// answer that does not bear the store's own code proves nothing.
func refusal(response *http.Response) error {
	var body wire.Error
	limited := io.LimitReader(response.Body, maximumErrorBytes)
	if err := json.NewDecoder(limited).Decode(&body); err != nil {
		return fmt.Errorf("%w: status %d without a readable reason: %w", store.ErrUnknownOutcome, response.StatusCode, err)
	}
	if sentinel, known := body.Sentinel(); known {
		return fmt.Errorf("%w: %s", sentinel, body.Message)
	}
	if body.Code == wire.CodeInvalid {
		return errors.New("store: invalid request: " + body.Message)
	}
	return fmt.Errorf("%w: status %d", store.ErrUnknownOutcome, response.StatusCode)
}

// classify says what a failed round trip means for the request.
func classify(followed *roundtrip.Trace, err error) error {
	if followed.MayHaveArrived() {
		return fmt.Errorf("%w: %w", store.ErrUnknownOutcome, err)
	}
	return fmt.Errorf("%w: %w", store.ErrUnavailable, err)
}
