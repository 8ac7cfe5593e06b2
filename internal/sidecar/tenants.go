package sidecar

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/admission"
)

// labelledTenants is how many tenants have a label of their own: those that held slots for the
// longest time.
const labelledTenants = 10

// tenantTimes tells for how long tenants' requests held slots of the local back end. It is a
// prometheus.Collector.
type tenantTimes struct {
	usage         func(most int) ([]admission.Usage, time.Duration)
	named, others *prometheus.Desc
}

func newTenantTimes(usage func(most int) ([]admission.Usage, time.Duration)) *tenantTimes {
	return &tenantTimes{
		usage:  usage,
		named:  prometheus.NewDesc("kestrel_sidecar_tenant_slot_seconds", "Time that slots were held, by tenant: those with the most.", []string{"tenant"}, nil),
		others: prometheus.NewDesc("kestrel_sidecar_other_tenants_slot_seconds", "Time that slots were held by all other tenants.", nil, nil),
	}
}

// Describe implements prometheus.Collector.
func (t *tenantTimes) Describe(into chan<- *prometheus.Desc) {
	into <- t.named
	into <- t.others
}

// Collect implements prometheus.Collector.
func (t *tenantTimes) Collect(into chan<- prometheus.Metric) {
	top, others := t.usage(labelledTenants)
	for _, one := range top {
		into <- prometheus.MustNewConstMetric(t.named, prometheus.GaugeValue, one.SlotTime.Seconds(), one.Tenant)
	}
	into <- prometheus.MustNewConstMetric(t.others, prometheus.GaugeValue, others.Seconds())
}
