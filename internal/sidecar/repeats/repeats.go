// Package repeats bounds how often requests are sent again after they have reached a back end, by
// all nodes together at each service, and spends what is allowed where it saves most.
//
// The load that it answers: the back ends of one service reject much of what they get for some
// seconds. Some nodes need far more repeats than their own requests have earned, while those of
// others lie idle.
//
// Where requests compete for room the allowance is an account of package lending. A request earns
// its node a part of a token; the node keeps what it needs itself and passes the rest on to the
// service's granter, with its share of the slack. Tokens come back in lots that are asked for
// ahead. No caller waits for them: a node that holds none spends what it has earned itself, or
// sends nothing again. Elsewhere each node spends a part of its even share.
//
// A call that a repeated run makes is a repeat at the service that it calls. The node beside the
// back end that makes it pays for it: it owes the token until its own requests or the granter's
// tokens have made up for it.
package repeats

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/clock"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/contain"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/lending"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/lending/carrier"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/readers"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/roster"
)

const (
	// ahead is for how long a lot is to last: longer, and more of it expires unspent; shorter,
	// and there are more questions.
	prefetchTime = 200 * time.Millisecond
	// askedLow is for how long what is held is to last when a lot is asked for.
	lowWaterMark = 50 * time.Millisecond
	// askPause is how long no granter is asked after one did not answer.
	requestPause = 100 * time.Millisecond
)

// Options configure repeats.
type Options struct {
	// Node, View, Usable, Known, Send and Lost are as in carrier.Options.
	Node            string
	View            func() *roster.View
	Reachable       readers.Reachable
	MembershipKnown func() bool
	Send            func(ctx context.Context, to *roster.Record, request *lending.GrantRequest) (*lending.GrantResponse, error)
	MarkLost        func(node string)
	// Limits bind at each service.
	Limits func() Limits
	// Services returns those of the configuration in force, Exists whether one is among them.
	Services func() []string
	Exists   func(service string) bool
	// On reports whether shares are lent.
	On       func() bool
	Logger   *zap.Logger
	Registry prometheus.Registerer
}

// Repeats keeps the allowance on one node. It is safe for concurrent use.
type Repeats struct {
	*carrier.Carrier
	options Options
	// services holds *serviceState by name.
	services sync.Map
	results  *prometheus.CounterVec
}

// service is what the node knows of one service.
type serviceState struct {
	budget     budget
	acceptance acceptance
	// asking: a granter is being asked.
	requesting atomic.Bool

	// calledFor are the repeats that were called for of late.
	nestedDemand demandCounter

	mu sync.Mutex // guards all below
	// askAfter is until when no granter is asked.
	requestAfter time.Time
}

// New returns repeats whose shares are lent once Run is called.
func New(options Options) *Repeats {
	created := &Repeats{options: options}
	created.Carrier = carrier.New(carrier.Options{
		Name: "repeats", Node: options.Node, View: options.View, Reachable: options.Reachable, MembershipKnown: options.MembershipKnown,
		Terms: created.terms, Accounts: created.accounts, Prefetch: prefetchTime,
		Send: options.Send, MarkLost: options.MarkLost, Logger: options.Logger,
	})
	created.results = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "kestrel_repeats_total", Help: "Requests to be sent again, by what became of them: granted, earned, own, even, spent, futile.",
	}, []string{"result"})
	options.Registry.MustRegister(created.results)
	return created
}

// terms returns how a service's allowance is lent among so many nodes.
func (r *Repeats) terms(service string, members int) (lending.Terms, bool) {
	limits := r.options.Limits()
	if limits.Window <= 0 || !r.options.On() || !r.options.Exists(service) {
		return lending.Terms{}, false
	}
	return limits.Terms(members), true
}

// accounts returns the services whose allowance is lent.
func (r *Repeats) accounts() []string {
	if !r.options.On() || r.options.Limits().Window <= 0 {
		return nil
	}
	return r.options.Services()
}

// On reports whether shares are lent.
func (r *Repeats) On() bool { return r.options.On() }

// RecordRequest notes a request for a service, which earns a part of a repeat. repeated is how likely it
// is that a repeated run makes it, so that it is a repeat itself.
func (r *Repeats) RecordRequest(name string, repeatProbability float64) {
	now, limits := clock.Now(), r.options.Limits()
	state := r.serviceFor(name)
	terms, lent := r.Terms(name)
	if !lent {
		state.budget.recordRequest(limits, r.options.View().LiveCount(), now)
		return
	}
	r.transferDebt(name, state, limits, terms, now)
	r.Holder().Earn(name, limits.earnedPerRequest(), terms, now)
	if repeatProbability > 0 {
		r.Holder().AddDebt(name, repeatProbability, now)
		r.refill(name, state, now)
	}
}

// Take spends one repeat at a service and reports whether there was one. It never waits.
func (r *Repeats) Take(name string, request Request) bool {
	now, limits := clock.Now(), r.options.Limits()
	state := r.serviceFor(name)
	terms, lent := r.Terms(name)
	if !lent {
		if !state.budget.take(limits, r.options.View().LiveCount(), now) {
			return r.count("spent", false)
		}
		return r.count("even", true)
	}
	r.transferDebt(name, state, limits, terms, now)
	expectedValue := request.expectedValue(state.acceptance.acceptedFraction(now))
	if expectedValue < minExpectedValue {
		return r.count("futile", false)
	}
	r.Holder().RecordDemand(name, now)
	defer r.refill(name, state, now)
	if reserve := state.nestedDemand.add(request, now); !mayTake(r.Holder().Available(name, terms, now), reserve) {
		return r.count("spent", false)
	}
	return r.spend(name, terms, now)
}

// spend takes the token of a repeat from where there is one.
func (r *Repeats) spend(name string, terms lending.Terms, now time.Time) bool {
	if r.MembershipKnown() && !r.Holder().RepayDebt(name, terms, now) {
		return r.count("spent", false)
	}
	if r.Holder().TakeDue(name, now) {
		return r.count("granted", true)
	}
	if r.Holder().TakeEarned(name, terms, now) {
		return r.count("earned", true)
	}
	if !r.MembershipKnown() {
		return r.count("spent", false)
	}
	if _, found := r.Holder().TakeOwnShare(name, terms, now); found {
		return r.count("own", true)
	}
	return r.count("spent", false)
}

// RecordResult takes in whether a back end of the service accepted a request that reached it.
func (r *Repeats) RecordResult(name string, accepted bool) {
	if r.options.On() {
		r.serviceFor(name).acceptance.add(accepted, clock.Now())
	}
}

// RemainingByService returns how many repeats the node holds by service, of those that there are.
func (r *Repeats) RemainingByService() map[string]float64 {
	remaining := map[string]float64{}
	r.services.Range(func(name, _ any) bool {
		if r.options.Exists(name.(string)) {
			remaining[name.(string)] = r.Remaining(name.(string))
		}
		return true
	})
	return remaining
}

// Remaining returns how many repeats the node holds at one service.
func (r *Repeats) Remaining(name string) float64 {
	if terms, lent := r.Terms(name); lent {
		return r.Holder().Available(name, terms, clock.Now())
	}
	return r.serviceFor(name).budget.remaining()
}

func (r *Repeats) count(result string, taken bool) bool {
	r.results.WithLabelValues(result).Inc()
	return taken
}

// of returns what is known of a service.
func (r *Repeats) serviceFor(name string) *serviceState {
	if state, found := r.services.Load(name); found {
		return state.(*serviceState)
	}
	state, _ := r.services.LoadOrStore(name, &serviceState{})
	return state.(*serviceState)
}

// carryOver turns what the node has overspent of its even share into a debt of the account, once
// after lending begins.
func (r *Repeats) transferDebt(name string, state *serviceState, limits Limits, terms lending.Terms, now time.Time) {
	if deficit := state.budget.drain(limits, terms.Members, now); deficit > 0 {
		r.Holder().AddDebt(name, deficit, now)
	}
}

// pause has no granter asked for some time.
func (s *serviceState) pauseRequests(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requestAfter = now.Add(requestPause)
}

// mayAsk reports whether a granter may be asked again.
func (s *serviceState) mayRequest(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !now.Before(s.requestAfter)
}

// refill asks the granter for a lot when what is held is low.
func (r *Repeats) refill(name string, state *serviceState, now time.Time) {
	if !state.mayRequest(now) || !r.Holder().NeedsRefill(name, lowWaterMark, now) || !state.requesting.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer state.requesting.Store(false)
		var err error
		fault := contain.Run("repeats", r.options.Logger, func() { err = r.RequestTokens(context.Background(), name) })
		if err == nil {
			err = fault
		}
		if err != nil {
			state.pauseRequests(clock.Now())
			r.options.Logger.Info("no repeats granted", zap.String("service", name), zap.Error(err))
		}
	}()
}
