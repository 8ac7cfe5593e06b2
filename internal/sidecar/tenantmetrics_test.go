package sidecar

import (
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/admission"
)

// TestTenantLabelsAreBounded checks that the number of tenant labels is bounded and that the times of
// all other tenants are reported as one metric.
func TestTenantLabelsAreBounded(t *testing.T) {
	g := NewWithT(t)
	gate := admission.New(func() time.Time { return time.Unix(1, 0) })
	gate.Resize(1)
	for number := range 2 * maxTenantLabels {
		slot, err := gate.Acquire(t.Context(), admission.RequestInfo{Tenant: strconv.Itoa(number), MaximumWait: time.Second})
		g.Expect(err).NotTo(HaveOccurred())
		slot.Release(true)
	}
	registry := prometheus.NewRegistry()
	registry.MustRegister(newTenantCollector(gate.Usage))
	families, err := registry.Gather()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(families).To(HaveLen(2))
	g.Expect(families[0].GetMetric()).To(HaveLen(1))
	g.Expect(families[1].GetMetric()).To(HaveLen(maxTenantLabels))
}
