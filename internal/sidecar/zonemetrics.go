package sidecar

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/clock"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/egress"
)

// zoneCollector reports the utilization of zones and the number of requests that the node sent to
// them. It implements prometheus.Collector.
type zoneCollector struct {
	egress             *egress.Handler
	perSlot, age, sent *prometheus.Desc
}

func newZoneCollector(handler *egress.Handler) *zoneCollector {
	describe := func(name, help string) *prometheus.Desc {
		return prometheus.NewDesc(name, help, []string{"service", "zone"}, nil)
	}
	return &zoneCollector{
		egress:  handler,
		perSlot: describe("kestrel_sidecar_zone_requests_per_slot", "Requests of other nodes for each slot of a service's back ends in a zone, by what replies told."),
		age:     describe("kestrel_sidecar_zone_report_age_seconds", "Age of the newest of these replies."),
		sent:    describe("kestrel_sidecar_zone_sends_total", "Requests sent to a service's back ends in a zone."),
	}
}

// Describe implements prometheus.Collector.
func (c *zoneCollector) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- c.perSlot
	descriptions <- c.age
	descriptions <- c.sent
}

// Collect implements prometheus.Collector.
func (c *zoneCollector) Collect(metrics chan<- prometheus.Metric) {
	for _, load := range c.egress.ZoneLoads(clock.Now()) {
		metrics <- prometheus.MustNewConstMetric(c.perSlot, prometheus.GaugeValue, load.PerSlot, load.Service, load.Zone)
		metrics <- prometheus.MustNewConstMetric(c.age, prometheus.GaugeValue, load.Age.Seconds(), load.Service, load.Zone)
		metrics <- prometheus.MustNewConstMetric(c.sent, prometheus.CounterValue, float64(load.Sent), load.Service, load.Zone)
	}
}
