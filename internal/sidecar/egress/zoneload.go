package egress

import (
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/occupancy"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/roster"
)

// zoneLoads holds how full the back ends of each service and zone are on average, by what replies
// told. It is safe for concurrent use; the zero value knows nothing. Services and zones are those
// of the roster, so that there are few.
type zoneLoads struct {
	// byZone holds a *zoneLoad by zoneKey.
	byZone sync.Map
}

// zoneKey is a service with a zone.
type zoneKey struct{ service, zone string }

// zoneLoad is what is known of one service's back ends in one zone.
type zoneLoad struct {
	// average is nil before the first reply.
	average atomic.Pointer[occupancy.Average]
	// full is what the log last said.
	full atomic.Bool
	// sent counts this node's sends there.
	sent atomic.Int64
}

// ZoneLoad is how full the back ends of a service are in a zone, as far as a node knows.
type ZoneLoad struct {
	Service, Zone string
	// PerSlot is how many requests of others there are for each slot, Age how old the newest
	// report is.
	PerSlot float64
	Age     time.Duration
	// Sent counts the node's sends there.
	Sent int64
}

const (
	// fullFrom is from how many requests for each slot on a zone is logged as full, roomFrom up to
	// how many as having room again. They lie apart so that the log doesn't tell of every swing.
	fullThreshold = 1.5
	roomThreshold = 0.8
	// zoneKept is how long a zone is kept of which no reply tells.
	zoneRetention = 5 * time.Minute
)

// of returns what is known of back ends like that of the record.
func (z *zoneLoads) forRecord(record *roster.Record) *zoneLoad {
	key := zoneKey{service: record.Endpoint.Service, zone: record.Zone}
	if found, known := z.byZone.Load(key); known {
		return found.(*zoneLoad)
	}
	found, _ := z.byZone.LoadOrStore(key, &zoneLoad{})
	return found.(*zoneLoad)
}

// learn takes in how many requests of others the back end of the record has, and reports whether
// its zone became full, or got room.
func (z *zoneLoads) observe(record *roster.Record, others float64, now time.Time) (full, changed bool) {
	held := z.forRecord(record)
	for {
		before := held.average.Load()
		var average occupancy.Average
		if before != nil {
			average = *before
		}
		average = average.After(others, record.Endpoint.Slots, now)
		if held.average.CompareAndSwap(before, &average) {
			return held.updateFull(average.PerSlot(now))
		}
	}
}

// judge reports whether the zone became full, or got room.
func (l *zoneLoad) updateFull(perSlot float64) (full, changed bool) {
	switch {
	case perSlot >= fullThreshold:
		return true, l.full.CompareAndSwap(false, true)
	case perSlot <= roomThreshold:
		return false, l.full.CompareAndSwap(true, false)
	}
	return false, false
}

// others returns how many requests of others a back end like that of the record has on average.
func (z *zoneLoads) others(record *roster.Record, now time.Time) float64 {
	average := z.forRecord(record).average.Load()
	if average == nil {
		return 0
	}
	return average.PerSlot(now) * float64(record.Endpoint.Slots)
}

// sweep forgets services and zones of which no reply has told for long.
func (z *zoneLoads) sweep(now time.Time) {
	z.byZone.Range(func(key, value any) bool {
		average := value.(*zoneLoad).average.Load()
		if average == nil || average.Age(now) > zoneRetention {
			z.byZone.Delete(key)
		}
		return true
	})
}

// ZoneLoads returns what the node knows of services and zones; nothing where requests do not
// compete for room.
func (h *Handler) ZoneLoads(now time.Time) []ZoneLoad {
	var list []ZoneLoad
	h.zoneLoads.byZone.Range(func(key, value any) bool {
		id, held := key.(zoneKey), value.(*zoneLoad)
		if average := held.average.Load(); average != nil {
			list = append(list, ZoneLoad{
				Service: id.service, Zone: id.zone, PerSlot: average.PerSlot(now), Age: average.Age(now), Sent: held.sent.Load(),
			})
		}
		return true
	})
	return list
}

// learnZone takes in how many requests of others the back end of a send has.
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
