// Package evacuation tracks which zones operators have ordered to be evacuated: no request is sent
// to back ends there until the order is revoked. Nodes that read the store learn of orders from it,
// the others from their peers. The package does no I/O.
package evacuation

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/kestrelstream/kestrelstream/internal/store"
)

// Order is the latest order for one zone.
type Order struct {
	Zone string `json:"zone"`
	// Revision is the store's revision at which the order was given. The order with the highest one
	// applies.
	Revision uint64 `json:"revision"`
	// Evacuated means that the zone is evacuated. Otherwise the evacuation was revoked.
	Evacuated bool `json:"emptied,omitempty"`
}

// Zones is an immutable set of evacuated zones. A nil set is empty.
type Zones struct{ evacuated map[string]bool }

// Contains reports whether the zone is evacuated.
func (z *Zones) Contains(zone string) bool { return z != nil && z.evacuated[zone] }

// Names returns the zones in order.
func (z *Zones) Names() []string {
	if z == nil {
		return nil
	}
	return slices.Sorted(maps.Keys(z.evacuated))
}

const (
	// maxOrders bounds the number of zones with orders, including zones that do not exist.
	maxOrders = 256
	// maxZoneBytes bounds the length of a zone's name.
	maxZoneBytes = 200
)

// Options configure Orders.
type Options struct {
	// ZoneExists reports whether the zone is known. It is used for logging only: an order for an
	// unknown zone is kept.
	ZoneExists func(zone string) bool
	// Broadcast informs the peers of changes read from the store.
	Broadcast func()
	// OnChange is called for each zone that is evacuated or whose evacuation is revoked. It must
	// not block.
	OnChange func(zone string, evacuated bool)
	Logger   *zap.Logger
}

// Orders holds the orders that a node knows. It is safe for concurrent use, and Zones takes no
// lock.
type Orders struct {
	options Options
	zones   atomic.Pointer[Zones]

	mu     sync.Mutex // guards the fields below and replacing zones
	orders map[string]Order
	// missingSince is the time at which an order was first missing from a store that was restored
	// from a copy.
	missingSince map[string]time.Time
}

// New returns Orders without any order.
func New(options Options) *Orders {
	return &Orders{options: options, orders: map[string]Order{}, missingSince: map[string]time.Time{}}
}

// Zones returns the zones that are evacuated now, nil if there are none.
func (o *Orders) Zones() *Zones { return o.zones.Load() }

// ApplyOrder applies an order read from the store.
func (o *Orders) ApplyOrder(order Order) {
	if o.merge([]Order{order}, "store") {
		o.options.Broadcast()
	}
}

// RewriteGracePeriod is the time for which an order is kept that is missing from a store restored
// from an older copy, so that operators have time to write it again.
const RewriteGracePeriod = 10 * time.Second

// Reconcile compares the known orders with a full listing of the store at a revision. An order that
// is not listed was revoked while no node watched. One that the store may have lost because it was
// restored from an older copy is kept for RewriteGracePeriod; Reconcile then returns true, and the
// store must be read again after that time.
func (o *Orders) Reconcile(zones []string, revision uint64, now time.Time) (again bool) {
	o.mu.Lock()
	var revoked []Order
	for zone, held := range o.orders {
		if !held.Evacuated || held.Revision >= revision || slices.Contains(zones, zone) {
			delete(o.missingSince, zone)
			continue
		}
		if store.EraOf(revision) > store.EraOf(held.Revision) {
			since, known := o.missingSince[zone]
			if !known {
				o.missingSince[zone] = now
			}
			if !known || now.Sub(since) < RewriteGracePeriod {
				again = true
				continue
			}
		}
		delete(o.missingSince, zone)
		revoked = append(revoked, Order{Zone: zone, Revision: revision})
	}
	o.mu.Unlock()
	if o.merge(revoked, "store") {
		o.options.Broadcast()
	}
	return again
}

// Export returns the orders to send to peers, nil if there are none.
func (o *Orders) Export() []Order {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.orders) == 0 {
		return nil
	}
	return slices.SortedFunc(maps.Values(o.orders), func(a, b Order) int { return cmp.Compare(a.Zone, b.Zone) })
}

// Import merges orders received from a peer and reports whether any of them is new.
func (o *Orders) Import(received []Order) (news bool) { return o.merge(received, "peer") }

// merge applies orders and reports whether any of them is new.
func (o *Orders) merge(received []Order, source string) (news bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, order := range received {
		current, known := o.orders[order.Zone]
		switch {
		case order.Zone == "" || len(order.Zone) > maxZoneBytes || order.Revision == 0:
			o.options.Logger.Warn("order for a zone cannot be", zap.String("zone", order.Zone), zap.String("source", source))
			continue
		case order.Revision <= current.Revision:
			continue
		case !known && len(o.orders) >= maxOrders:
			o.options.Logger.Error("too many orders for zones, one is left out", zap.String("zone", order.Zone), zap.Int("most", maxOrders))
			continue
		}
		news = true
		o.orders[order.Zone] = order
		if current.Evacuated != order.Evacuated {
			o.publish(order, source)
		}
	}
	return news
}

// publish replaces the set of evacuated zones after the state of a zone has changed, and logs and
// reports the change. The lock must be held.
func (o *Orders) publish(order Order, source string) {
	next := map[string]bool{}
	for zone, held := range o.orders {
		if held.Evacuated {
			next[zone] = true
		}
	}
	if len(next) == 0 {
		o.zones.Store(nil)
	} else {
		o.zones.Store(&Zones{evacuated: next})
	}
	message := "zone is emptied"
	if !order.Evacuated {
		message = "zone is taken back"
	}
	o.options.Logger.Info(message, zap.String("zone", order.Zone), zap.Uint64("revision", order.Revision),
		zap.String("source", source), zap.Bool("knownZone", o.options.ZoneExists(order.Zone)), zap.Strings("emptied", o.zones.Load().Names()))
	o.options.OnChange(order.Zone, order.Evacuated)
}
