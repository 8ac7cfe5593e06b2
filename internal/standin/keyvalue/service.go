package keyvalue

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/kestrelstream/kestrelstream/internal/store"
	"github.com/kestrelstream/kestrelstream/internal/store/memory"
)

// DefaultSeed is the seed of the faults' random source.
const DefaultSeed = 1

// Options tune a service; the zero value is usable.
type Options struct {
	// Engine holds the keys; nil means a new, empty one.
	Engine *memory.Store
	// Seed replaces DefaultSeed when not zero.
	Seed uint64
}

// Statistics counts requests by operation, refused ones included.
type Statistics struct {
	Get       uint64 `json:"get"`
	Range     uint64 `json:"range"`
	Swap      uint64 `json:"swap"`
	Watch     uint64 `json:"watch"`
	Grant     uint64 `json:"grant"`
	KeepAlive uint64 `json:"keepAlive"`
	Revoke    uint64 `json:"revoke"`
	// OpenWatches is how many watches run now.
	OpenWatches int64 `json:"openWatches"`
}

// Requests returns how many requests there were of all operations.
func (s Statistics) Requests() uint64 {
	return s.Get + s.Range + s.Swap + s.Watch + s.Grant + s.KeepAlive + s.Revoke
}

type counters struct {
	get, scan, swap, watch, grant, keepAlive, revoke atomic.Uint64
	openWatches                                      atomic.Int64
}

// Service is the stand-in in process: a memory store with faults and counts.
// It is safe for concurrent use.
type Service struct {
	engine   *memory.Store
	faults   *Faults
	counters counters
}

var _ store.Store = (*Service)(nil)

// NewService returns a service without faults.
func NewService(options Options) *Service {
	if options.Engine == nil {
		options.Engine = memory.New(memory.Options{})
	}
	if options.Seed == 0 {
		options.Seed = DefaultSeed
	}
	return &Service{engine: options.Engine, faults: NewFaults(options.Seed)}
}

// Faults returns the control of the service's faults.
func (s *Service) Faults() *Faults { return s.faults }

// LapseLeases ends every lease now and returns how many there were.
func (s *Service) LapseLeases() int { return s.engine.LapseAll() }

// Statistics returns the counts up to now.
func (s *Service) Statistics() Statistics {
	return Statistics{
		Get:         s.counters.get.Load(),
		Range:       s.counters.scan.Load(),
		Swap:        s.counters.swap.Load(),
		Watch:       s.counters.watch.Load(),
		Grant:       s.counters.grant.Load(),
		KeepAlive:   s.counters.keepAlive.Load(),
		Revoke:      s.counters.revoke.Load(),
		OpenWatches: s.counters.openWatches.Load(),
	}
}

// Get implements store.Reader.
func (s *Service) Get(ctx context.Context, key string) (store.KeyValue, error) {
	s.counters.get.Add(1)
	return run(ctx, s.faults, OperationGet, key, func() (store.KeyValue, error) {
		return s.engine.Get(ctx, key)
	})
}

type page struct {
	values   []store.KeyValue
	revision uint64
}

// Range implements store.Reader.
func (s *Service) Range(ctx context.Context, prefix, from string, limit int) ([]store.KeyValue, uint64, error) {
	s.counters.scan.Add(1)
	found, err := run(ctx, s.faults, OperationRange, prefix, func() (page, error) {
		values, revision, err := s.engine.Range(ctx, prefix, from, limit)
		return page{values, revision}, err
	})
	return found.values, found.revision, err
}

// CompareAndSwap implements store.Writer.
func (s *Service) CompareAndSwap(ctx context.Context, swap store.Swap) (uint64, error) {
	s.counters.swap.Add(1)
	return run(ctx, s.faults, OperationSwap, swap.Key, func() (uint64, error) {
		s.lapse(OperationSwap, swap.Key, swap.LeaseID)
		return s.engine.CompareAndSwap(ctx, swap)
	})
}

// Grant implements store.Leaser.
func (s *Service) Grant(ctx context.Context, timeToLive time.Duration) (store.Lease, error) {
	s.counters.grant.Add(1)
	return run(ctx, s.faults, OperationGrant, "", func() (store.Lease, error) {
		return s.engine.Grant(ctx, timeToLive)
	})
}

// KeepAlive implements store.Leaser.
func (s *Service) KeepAlive(ctx context.Context, leaseID string) error {
	s.counters.keepAlive.Add(1)
	_, err := run(ctx, s.faults, OperationKeepAlive, "", func() (struct{}, error) {
		s.lapse(OperationKeepAlive, "", leaseID)
		return struct{}{}, s.engine.KeepAlive(ctx, leaseID)
	})
	return err
}

// Revoke implements store.Leaser.
func (s *Service) Revoke(ctx context.Context, leaseID string) error {
	s.counters.revoke.Add(1)
	_, err := run(ctx, s.faults, OperationRevoke, "", func() (struct{}, error) {
		s.lapse(OperationRevoke, "", leaseID)
		return struct{}{}, s.engine.Revoke(ctx, leaseID)
	})
	return err
}

// lapse ends the request's lease first when a fault says so.
func (s *Service) lapse(operation Operation, key, leaseID string) {
	if leaseID != "" && len(s.faults.hits(operation, key, FaultLeaseLapsed)) > 0 {
		s.engine.Lapse(leaseID)
	}
}

// run performs a request under the faults that strike it.
func run[Answer any](ctx context.Context, faults *Faults, operation Operation, key string, request func() (Answer, error)) (Answer, error) {
	var none Answer
	if err := precede(ctx, faults, operation, key); err != nil {
		return none, err
	}
	answer, err := request()
	if lost := faults.hits(operation, key, FaultAnswerLost); len(lost) > 0 {
		return none, fmt.Errorf("%w: %v", store.ErrUnknownOutcome, lost[0])
	}
	return answer, err
}

// precede applies the faults that strike before a request is run.
func precede(ctx context.Context, faults *Faults, operation Operation, key string) error {
	for _, fault := range faults.hits(operation, key, FaultDown, FaultDropped, FaultRateLimited, FaultSlow) {
		if err := strike(ctx, fault); err != nil {
			return fmt.Errorf("%w: %v", err, fault)
		}
	}
	return nil
}

// strike applies one fault; a nil error lets the request go on.
func strike(ctx context.Context, fault Fault) error {
	switch fault.Kind {
	case FaultDown:
		return store.ErrUnavailable
	case FaultRateLimited:
		return store.ErrRateLimited
	case FaultDropped:
		return store.ErrUnknownOutcome
	default:
		return delay(ctx, fault.Delay)
	}
}

// delay waits; a caller that gives up meanwhile can't know whether its request
// was run.
func delay(ctx context.Context, duration time.Duration) error {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", store.ErrUnknownOutcome, ctx.Err())
	}
}

// cut reports whether a fault ends a running watch now.
func (s *Service) cut(prefix string) bool {
	return len(s.faults.hits(OperationWatch, prefix, FaultWatchCut, FaultDown)) > 0
}
