package egress

import (
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/occupancy"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/roster"
)

// zoneLoads holds the average load of the back ends of each service and zone, as reported in
// responses. It is safe for concurrent use; the zero value is empty. Services and zones come from
// the roster, so there are few.
type zoneLoads struct {
	// byZone maps a zoneKey to its *zoneLoad.
	byZone sync.Map
}

// zoneKey identifies a service in a zone.
type zoneKey struct{ service, zone string }

// zoneLoad is the known load of one service's back ends in one zone.
type zoneLoad struct {
	// average is nil before the first response.
	average atomic.Pointer[occupancy.Average]
	// full is the state that was last logged.
	full atomic.Bool
	// sent counts this node's attempts there.
	sent atomic.Int64
}

// ZoneLoad is the load of a service's back ends in a zone, as far as a node knows.
type ZoneLoad struct {
	Service, Zone string
	// PerSlot is the number of requests of other nodes for each slot, Age the age of the newest
	// report.
	PerSlot float64
	Age     time.Duration
	// Sent counts the node's attempts there.
	Sent int64
}

const (
	// A zone is logged as full from fullThreshold requests for each slot, and as having room again
	// at roomThreshold or below. The gap keeps the log from reporting every fluctuation.
	fullThreshold = 1.5
	roomThreshold = 0.8
	// zoneRetention is the time for which a zone is kept without a response that reports on it.
	zoneRetention = 5 * time.Minute
)

// forRecord returns the load of the record's service and zone.
func (z *zoneLoads) forRecord(record *roster.Record) *zoneLoad {
	key := zoneKey{service: record.Endpoint.Service, zone: record.Zone}
	if value, known := z.byZone.Load(key); known {
		return value.(*zoneLoad)
	}
	value, _ := z.byZone.LoadOrStore(key, &zoneLoad{})
	return value.(*zoneLoad)
}

// observe records how many requests of other nodes the record's back end has, and reports whether
// its zone became full, or got room.
func (z *zoneLoads) observe(record *roster.Record, others float64, now time.Time) (full, changed bool) {
	load := z.forRecord(record)
	for {
		before := load.average.Load()
		var average occupancy.Average
		if before != nil {
			average = *before
		}
		average = average.After(others, record.Endpoint.Slots, now)
		if load.average.CompareAndSwap(before, &average) {
			return load.updateFull(average.PerSlot(now))
		}
	}
}

// updateFull reports whether the zone became full, or got room.
func (l *zoneLoad) updateFull(perSlot float64) (full, changed bool) {
	switch {
	case perSlot >= fullThreshold:
		return true, l.full.CompareAndSwap(false, true)
	case perSlot <= roomThreshold:
		return false, l.full.CompareAndSwap(true, false)
	}
	return false, false
}

// others returns the average number of other nodes' requests at a back end of the record's service,
// zone and size.
func (z *zoneLoads) others(record *roster.Record, now time.Time) float64 {
	average := z.forRecord(record).average.Load()
	if average == nil {
		return 0
	}
	return average.PerSlot(now) * float64(record.Endpoint.Slots)
}

// sweep forgets services and zones without recent reports.
func (z *zoneLoads) sweep(now time.Time) {
	z.byZone.Range(func(key, value any) bool {
		average := value.(*zoneLoad).average.Load()
		if average == nil || average.Age(now) > zoneRetention {
			z.byZone.Delete(key)
		}
		return true
	})
}

// ZoneLoads returns the known load by service and zone; nothing without overload control.
func (h *Handler) ZoneLoads(now time.Time) []ZoneLoad {
	var list []ZoneLoad
	h.zoneLoads.byZone.Range(func(key, value any) bool {
		id, load := key.(zoneKey), value.(*zoneLoad)
		if average := load.average.Load(); average != nil {
			list = append(list, ZoneLoad{
				Service: id.service, Zone: id.zone, PerSlot: average.PerSlot(now), Age: average.Age(now), Sent: load.sent.Load(),
			})
		}
		return true
	})
	return list
}

// observeZone records how many requests of other nodes the attempt's back end has, and logs when
// its zone becomes full or has room again.
func (a *attempt) observeZone(others float64, now time.Time) {
	h := a.call.handler
	full, changed := h.zoneLoads.observe(a.record, others, now)
	if !changed {
		return
	}
	message := "zone has room for the service"
	if full {
		message = "zone is full for the service"
	}
	h.options.Logger.Info(message, zap.String("service", a.service), zap.String("zone", a.record.Zone),
		zap.Float64("others", others), zap.Int("slots", a.record.Endpoint.Slots))
}
