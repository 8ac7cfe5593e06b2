package sidecar

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/admission"
)

// maxTenantLabels is the maximum number of tenants with a label of their own: those that held slots
// longest.
const maxTenantLabels = 10

// tenantCollector reports how long the requests of each tenant held slots of the local back end. It
// implements prometheus.Collector.
type tenantCollector struct {
	usage         func(limit int) ([]admission.Usage, time.Duration)
	named, others *prometheus.Desc
}

func newTenantCollector(usage func(limit int) ([]admission.Usage, time.Duration)) *tenantCollector {
	return &tenantCollector{
		usage:  usage,
		named:  prometheus.NewDesc("kestrel_sidecar_tenant_slot_seconds", "Time that slots were held, by tenant: those with the most.", []string{"tenant"}, nil),
		others: prometheus.NewDesc("kestrel_sidecar_other_tenants_slot_seconds", "Time that slots were held by all other tenants.", nil, nil),
	}
}

// Describe implements prometheus.Collector.
func (t *tenantCollector) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- t.named
	descriptions <- t.others
}

// Collect implements prometheus.Collector.
func (t *tenantCollector) Collect(metrics chan<- prometheus.Metric) {
	top, others := t.usage(maxTenantLabels)
	for _, entry := range top {
		metrics <- prometheus.MustNewConstMetric(t.named, prometheus.GaugeValue, entry.SlotTime.Seconds(), entry.Tenant)
	}
	metrics <- prometheus.MustNewConstMetric(t.others, prometheus.GaugeValue, others.Seconds())
}
