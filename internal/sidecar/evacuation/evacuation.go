// Package evacuation knows which zones operators have ordered to be emptied: no request goes
// to back ends there until the order is taken back. Nodes that read the store hear the orders
// from it, the others from their peers. The package does no I/O.
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

// Order is the newest word on one zone. It is a value.
type Order struct {
	Zone string `json:"zone"`
	// Revision is that of the store when the word was given; a higher one holds.
	Revision uint64 `json:"revision"`
	// Emptied: nothing is to go to the zone's back ends. Otherwise the order was taken back.
	Emptied bool `json:"emptied,omitempty"`
}

// Zones are those that are emptied at one moment. It is immutable; nil has none.
type Zones struct{ emptied map[string]bool }

// Contains reports whether the zone is emptied.
func (z *Zones) Contains(zone string) bool { return z != nil && z.emptied[zone] }

// Names returns the zones in order.
func (z *Zones) Names() []string {
	if z == nil {
		return nil
	}
	return slices.Sorted(maps.Keys(z.emptied))
}

const (
	// maxOrders bounds the zones whose orders are kept, of zones that do not exist too.
	maxOrders = 256
	// maxZoneBytes bounds the name of a zone.
	maxZoneBytes = 200
)

// Options configure the orders.
type Options struct {
	// ZoneExists reports whether there is a zone of that name, for the log alone: an order for
	// one that is not known yet is kept.
	ZoneExists func(zone string) bool
	// Broadcast tells the peers of news that the store has brought.
	Broadcast func()
	// OnChange is told of each zone that was emptied, or whose order was taken back. It must
	// not block.
	OnChange func(zone string, emptied bool)
	Logger   *zap.Logger
}

// Orders are those that a node has heard of. It is safe for concurrent use; what a request
// needs takes no lock.
type Orders struct {
	options Options
	zones   atomic.Pointer[Zones]

	mu     sync.Mutex // guards all below and the replacement of zones
	orders map[string]Order
	// missingSince holds since when the store, come back from a copy, lacks an order.
	missingSince map[string]time.Time
}

// New returns the orders of a node that has heard of none.
func New(options Options) *Orders {
	return &Orders{options: options, orders: map[string]Order{}, missingSince: map[string]time.Time{}}
}

// Zones returns the zones that are emptied now, nil when there are none.
func (o *Orders) Zones() *Zones { return o.zones.Load() }

// Ordered takes in a word of the store on one zone.
func (o *Orders) Ordered(order Order) {
	if o.merge([]Order{order}, "store") {
		o.options.Broadcast()
	}
}

// RewriteGracePeriod is how long an order that a store which came back from an older copy lacks is
// still kept: operators write it again.
const RewriteGracePeriod = 10 * time.Second

// Reconcile takes in that the store had orders for just these zones at a revision. One that it
// does not have any more was taken back while nobody watched. One that it may have lost, since it
// has come back from an older copy, is kept for RewritePatience; Reconcile then reports that the
// store is to be read again after that time.
func (o *Orders) Reconcile(zones []string, revision uint64, now time.Time) (again bool) {
	o.mu.Lock()
	var revoked []Order
	for zone, held := range o.orders {
		if !held.Emptied || held.Revision >= revision || slices.Contains(zones, zone) {
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

// Tell returns the newest words as peers are told of them; nil when there are none.
func (o *Orders) Tell() []Order {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.orders) == 0 {
		return nil
	}
	return slices.SortedFunc(maps.Values(o.orders), func(a, b Order) int { return cmp.Compare(a.Zone, b.Zone) })
}

// Hear takes in a peer's words and reports whether some of them are news.
func (o *Orders) Hear(received []Order) (news bool) { return o.merge(received, "peer") }

// merge merges words and reports whether some of them are news.
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
		if current.Emptied != order.Emptied {
			o.publish(order, source)
		}
	}
	return news
}

// publish puts in force that a zone is emptied, or is so no more; the lock is held.
func (o *Orders) publish(order Order, source string) {
	next := map[string]bool{}
	for zone, held := range o.orders {
		if held.Emptied {
			next[zone] = true
		}
	}
	if len(next) == 0 {
		o.zones.Store(nil)
	} else {
		o.zones.Store(&Zones{emptied: next})
	}
	message := "zone is emptied"
	if !order.Emptied {
		message = "zone is taken back"
	}
	o.options.Logger.Info(message, zap.String("zone", order.Zone), zap.Uint64("revision", order.Revision),
		zap.String("source", source), zap.Bool("knownZone", o.options.ZoneExists(order.Zone)), zap.Strings("emptied", o.zones.Load().Names()))
	o.options.OnChange(order.Zone, order.Emptied)
}
