package sidecar

import (
	"context"
	"errors"
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"github.com/kestrelstream/kestrelstream/internal/proxy/notrun"
	"github.com/kestrelstream/kestrelstream/internal/store"
)

// failingStore returns err from every call.
type failingStore struct {
	Store
	err error
}

func (f *failingStore) Get(context.Context, string) (store.KeyValue, error) {
	return store.KeyValue{}, f.err
}

func (f *failingStore) CompareAndSwap(context.Context, store.Swap) (uint64, error) { return 0, f.err }

func TestStoreCallsByResult(t *testing.T) {
	for _, failing := range []struct {
		err  error
		name string
	}{
		{nil, "ok"},
		{fmt.Errorf("status 429: %w", store.ErrRateLimited), "rate limited"},
		{store.ErrUnknownOutcome, "unknown outcome"},
		{errors.New("something else"), "other"},
	} {
		g := NewWithT(t)
		counted := newCountedStore(&failingStore{err: failing.err}, prometheus.NewRegistry())
		_, _ = counted.Get(t.Context(), "key")
		_, _ = counted.CompareAndSwap(t.Context(), store.Swap{})
		g.Expect(testutil.ToFloat64(counted.calls.WithLabelValues(callGet, failing.name))).To(Equal(1.0))
		g.Expect(testutil.ToFloat64(counted.calls.WithLabelValues(callWrite, failing.name))).To(Equal(1.0))
	}
}

func TestPromisesByEvidence(t *testing.T) {
	g := NewWithT(t)
	counted := newMetrics(prometheus.NewRegistry())
	counted.ArrivalNotRun(notrun.NotSent())
	counted.CallNotRun(notrun.Reported())
	g.Expect(testutil.ToFloat64(counted.notRun.WithLabelValues("inbound", "not-sent"))).To(Equal(1.0))
	g.Expect(testutil.ToFloat64(counted.notRun.WithLabelValues("outbound", "reported"))).To(Equal(1.0))
}

func TestBoundedLabels(t *testing.T) {
	g := NewWithT(t)
	labels := boundedLabels{maxLabels: 2}
	g.Expect(labels.label("a")).To(Equal("a"))
	g.Expect(labels.label("b")).To(Equal("b"))
	g.Expect(labels.label("c")).To(Equal("other"))
	g.Expect(labels.label("a")).To(Equal("a"))
}
