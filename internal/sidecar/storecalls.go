package sidecar

import (
	"context"
	"errors"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/kestrelstream/kestrelstream/internal/store"
)

// countedStore wraps a store, counts its calls by kind and result, and records their durations. A
// watch is counted when it ends.
type countedStore struct {
	Store
	calls   *prometheus.CounterVec
	seconds *prometheus.HistogramVec
}

func newCountedStore(wrapped Store, registry prometheus.Registerer) *countedStore {
	created := &countedStore{
		Store: wrapped,
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "kestrel_sidecar_store_calls_total", Help: "Calls of the store by kind and result; a watch counts when it ends.",
		}, []string{"kind", "result"}),
		seconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "kestrel_sidecar_store_seconds", Help: "Time that calls of the store took, watches aside.", Buckets: latencyBuckets,
		}, []string{"kind"}),
	}
	registry.MustRegister(created.calls, created.seconds)
	return created
}

// Kinds of calls, the values of the label kind.
const (
	callGet   = "get"
	callRange = "range"
	callStale = "range stale"
	callWrite = "write"
	callWatch = "watch"
)

// storeResults maps the errors of the store interface to values of the label result.
var storeResults = []struct {
	err  error
	name string
}{
	{store.ErrNotFound, "not found"},
	{store.ErrConflict, "conflict"},
	{store.ErrRateLimited, "rate limited"},
	{store.ErrUnavailable, "unavailable"},
	{store.ErrUnknownOutcome, "unknown outcome"},
	{store.ErrCompacted, "compacted"},
	{store.ErrTooLarge, "too large"},
	{context.Canceled, "given up"},
}

func storeResult(err error) string {
	if err == nil {
		return "ok"
	}
	for _, known := range storeResults {
		if errors.Is(err, known.err) {
			return known.name
		}
	}
	return "other"
}

// observe counts one call and records its duration.
func (s *countedStore) observe(kind string, began time.Time, err error) {
	s.calls.WithLabelValues(kind, storeResult(err)).Inc()
	s.seconds.WithLabelValues(kind).Observe(time.Since(began).Seconds())
}

// Apply implements store.Batcher.
func (s *countedStore) Apply(ctx context.Context, swaps []store.Swap) (uint64, error) {
	began := time.Now()
	revision, err := s.Store.Apply(ctx, swaps)
	s.observe(callWrite, began, err)
	return revision, err
}

// Get implements store.Reader.
func (s *countedStore) Get(ctx context.Context, key string) (store.KeyValue, error) {
	began := time.Now()
	found, err := s.Store.Get(ctx, key)
	s.observe(callGet, began, err)
	return found, err
}

// Range implements store.Reader.
func (s *countedStore) Range(ctx context.Context, prefix, from string, limit int) ([]store.KeyValue, uint64, error) {
	began := time.Now()
	found, at, err := s.Store.Range(ctx, prefix, from, limit)
	s.observe(callRange, began, err)
	return found, at, err
}

// RangeStale implements membership.Store.
func (s *countedStore) RangeStale(ctx context.Context, prefix, from string, limit int) ([]store.KeyValue, uint64, error) {
	began := time.Now()
	found, at, err := s.Store.RangeStale(ctx, prefix, from, limit)
	s.observe(callStale, began, err)
	return found, at, err
}

// CompareAndSwap implements store.Writer.
func (s *countedStore) CompareAndSwap(ctx context.Context, swap store.Swap) (uint64, error) {
	began := time.Now()
	revision, err := s.Store.CompareAndSwap(ctx, swap)
	s.observe(callWrite, began, err)
	return revision, err
}

// Watch implements store.Reader.
func (s *countedStore) Watch(ctx context.Context, prefix string, after uint64) (store.Watch, error) {
	running, err := s.Store.Watch(ctx, prefix, after)
	if err != nil {
		s.calls.WithLabelValues(callWatch, storeResult(err)).Inc()
		return nil, err
	}
	return &countedWatch{Watch: running, ended: s.calls}, nil
}

// countedWatch counts the end of a watch when Err is called.
type countedWatch struct {
	store.Watch
	ended *prometheus.CounterVec
}

// Err implements store.Watch.
func (w *countedWatch) Err() error {
	err := w.Watch.Err()
	w.ended.WithLabelValues(callWatch, storeResult(err)).Inc()
	return err
}
