// Package repeats limits the repeats of all nodes together at each service, and spends the
// allowance where it saves most. A repeat is a send of a request that has already reached a back
// end.
//
// It is made for back ends of one service that reject much of their load for some seconds: some
// nodes then need far more repeats than their own requests have earned, while the allowance of
// other nodes is unused.
//
// Where requests compete for capacity, the allowance is an account of package lending. Each request
// earns its node a part of a token. The node keeps the tokens that it needs itself and deposits the
// rest with the service's granter, to which it also lends its share of the slack. It prefetches
// tokens from the granter in batches. No caller waits for them: a node without granted tokens
// spends those that it has earned itself, or sends nothing again. Where requests do not compete,
// each node spends a part of its equal share.
//
// A call made by a repeated run is a repeat at the service that it calls. The node beside the back
// end that makes the call pays for it: it has a debt of one token until its own requests or tokens
// of the granter have repaid it.
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
	// prefetchTime is the time that a batch of tokens should last. With a longer time more tokens
	// expire unspent, with a shorter one there are more requests to granters.
	prefetchTime = 200 * time.Millisecond
	// lowWaterMark is the time for which the held tokens must last; below it, a new batch is
	// requested.
	lowWaterMark = 50 * time.Millisecond
	// requestPause is the time for which no granter is asked after one did not answer.
	requestPause = 100 * time.Millisecond
)

// Options configures Repeats.
type Options struct {
	// Node, View, Reachable, MembershipKnown, Send and MarkLost are as in carrier.Options.
	Node            string
	View            func() *roster.View
	Reachable       readers.Reachable
	MembershipKnown func() bool
	Send            func(ctx context.Context, to *roster.Record, request *lending.GrantRequest) (*lending.GrantResponse, error)
	MarkLost        func(node string)
	// Limits returns the limits that apply to each service.
	Limits func() Limits
	// Services returns the services of the configuration in force. Exists reports whether a service
	// is one of them.
	Services func() []string
	Exists   func(service string) bool
	// On reports whether shares are lent.
	On       func() bool
	Logger   *zap.Logger
	Registry prometheus.Registerer
}

// Repeats enforces the limits on one node. It is safe for concurrent use.
type Repeats struct {
	*carrier.Carrier
	options Options
	// services maps names to *serviceState.
	services sync.Map
	results  *prometheus.CounterVec
}

// serviceState is the node's state of one service.
type serviceState struct {
	budget     budget
	acceptance acceptance
	// requesting says that a request to a granter is in flight.
	requesting atomic.Bool

	// nestedDemand counts the recent repeats of nested calls.
	nestedDemand demandCounter

	mu sync.Mutex // guards all below
	// requestAfter is the time from which a granter may be asked again.
	requestAfter time.Time
}

// New returns a Repeats. It lends the node's shares once Run is called.
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

// terms returns the lending terms of a service's allowance for the given number of nodes.
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

// RecordRequest records a request for a service, which earns a part of a repeat. repeatProbability
// is the probability that a repeated run makes the request, which is then a repeat itself and adds
// to the node's debt.
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

// spend spends a token for a repeat: a granted one, else an earned one, else one of the node's own
// share. It first repays the debt.
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

// RecordResult records whether a back end of the service accepted a request that reached it.
func (r *Repeats) RecordResult(name string, accepted bool) {
	if r.options.On() {
		r.serviceFor(name).acceptance.add(accepted, clock.Now())
	}
}

// RemainingByService returns how many repeats the node holds for each existing service.
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

// Remaining returns how many repeats the node holds for one service.
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

// serviceFor returns the state of a service and creates it if needed.
func (r *Repeats) serviceFor(name string) *serviceState {
	if state, found := r.services.Load(name); found {
		return state.(*serviceState)
	}
	state, _ := r.services.LoadOrStore(name, &serviceState{})
	return state.(*serviceState)
}

// transferDebt turns what the node has overspent of its equal share into a debt of the lent
// account, once after lending begins.
func (r *Repeats) transferDebt(name string, state *serviceState, limits Limits, terms lending.Terms, now time.Time) {
	if deficit := state.budget.drain(limits, terms.Members, now); deficit > 0 {
		r.Holder().AddDebt(name, deficit, now)
	}
}

// pauseRequests stops requests to granters for requestPause.
func (s *serviceState) pauseRequests(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requestAfter = now.Add(requestPause)
}

// mayRequest reports whether a granter may be asked again.
func (s *serviceState) mayRequest(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !now.Before(s.requestAfter)
}

// refill requests a batch of tokens from the granter in the background if the held ones are running
// low.
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
