package keyvalue

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/time/rate"
)

// FaultKind names something that goes wrong.
type FaultKind string

// The kinds of faults.
const (
	// FaultDown refuses requests without running them and cuts watches.
	FaultDown FaultKind = "down"
	// FaultDropped ends the connection before the request is run; its client
	// can't tell this from FaultAnswerLost.
	FaultDropped FaultKind = "dropped"
	// FaultSlow makes requests wait for Delay before they are run.
	FaultSlow FaultKind = "slow"
	// FaultRateLimited refuses requests without running them.
	FaultRateLimited FaultKind = "rateLimited"
	// FaultAnswerLost runs requests and ends the connection instead of
	// answering.
	FaultAnswerLost FaultKind = "answerLost"
	// FaultWatchCut ends running watches: at once, and on their next event.
	FaultWatchCut FaultKind = "watchCut"
	// FaultLeaseLapsed ends the lease that a request names before the request
	// is run.
	FaultLeaseLapsed FaultKind = "leaseLapsed"
)

var faultKinds = []FaultKind{
	FaultDown, FaultDropped, FaultSlow, FaultRateLimited, FaultAnswerLost, FaultWatchCut, FaultLeaseLapsed,
}

// Operation names an operation of the port.
type Operation string

// The operations of the port.
const (
	OperationGet       Operation = "get"
	OperationRange     Operation = "range"
	OperationSwap      Operation = "swap"
	OperationWatch     Operation = "watch"
	OperationGrant     Operation = "grant"
	OperationKeepAlive Operation = "keepAlive"
	OperationRevoke    Operation = "revoke"
)

var operations = []Operation{
	OperationGet, OperationRange, OperationSwap, OperationWatch, OperationGrant, OperationKeepAlive, OperationRevoke,
}

// Fault says what goes wrong, for which requests and how often.
type Fault struct {
	Kind FaultKind `json:"kind"`
	// Operations limits the fault to these; none means all.
	Operations []Operation `json:"operations,omitempty"`
	// KeyPrefix limits the fault to requests whose key or prefix begins so.
	KeyPrefix string `json:"keyPrefix,omitempty"`
	// Skip is how many matching requests pass before the first is hit.
	Skip int `json:"skip,omitempty"`
	// Count is how many requests are hit at most; zero means no bound.
	Count int `json:"count,omitempty"`
	// Probability is the chance of a matching request to be hit; zero means
	// that each one is.
	Probability float64 `json:"probability,omitempty"`
	// PerSecond is the rate, with as much again at once, up to which requests
	// pass FaultRateLimited; zero lets none pass.
	PerSecond int `json:"perSecond,omitempty"`
	// Delay is the wait of FaultSlow in nanoseconds.
	Delay time.Duration `json:"delay,omitempty"`
}

// Validate says what is wrong with a fault's fields.
func (f Fault) Validate() error {
	if !slices.Contains(faultKinds, f.Kind) {
		return trace.BadParameter("kind: %q is none of %v", f.Kind, faultKinds)
	}
	for _, operation := range f.Operations {
		if !slices.Contains(operations, operation) {
			return trace.BadParameter("operations: %q is none of %v", operation, operations)
		}
	}
	if f.Skip < 0 || f.Count < 0 {
		return trace.BadParameter("skip and count must not be negative")
	}
	if f.Probability < 0 || f.Probability > 1 {
		return trace.BadParameter("probability: %v is not between 0 and 1", f.Probability)
	}
	if f.PerSecond < 0 || f.PerSecond > 0 && f.Kind != FaultRateLimited {
		return trace.BadParameter("perSecond: must not be negative, and is for %q only", FaultRateLimited)
	}
	if f.Kind == FaultSlow && f.Delay <= 0 {
		return trace.BadParameter("delay: must be positive for %q", FaultSlow)
	}
	return nil
}

// matches reports whether a request is one that the fault is about.
func (f Fault) matches(operation Operation, key string) bool {
	included := len(f.Operations) == 0 || slices.Contains(f.Operations, operation)
	return included && strings.HasPrefix(key, f.KeyPrefix)
}

// ActiveFault is a fault with what became of it.
type ActiveFault struct {
	Fault
	// Matched counts the requests it was about, Hit those it struck.
	Matched int `json:"matched"`
	Hit     int `json:"hit"`

	limiter *rate.Limiter // nil without a rate
}

func activate(fault Fault) *ActiveFault {
	active := &ActiveFault{Fault: fault}
	if fault.PerSecond > 0 {
		active.limiter = rate.NewLimiter(rate.Limit(fault.PerSecond), fault.PerSecond)
	}
	return active
}

// Faults is the set of faults in force. Its random source has a fixed seed, so
// the same requests in the same order meet the same faults. It is safe for
// concurrent use.
type Faults struct {
	// mutex guards everything below.
	mutex   sync.Mutex
	random  *rand.Rand
	active  []*ActiveFault
	changed chan struct{} // closed and replaced when the set changes
}

// NewFaults returns an empty set.
func NewFaults(seed uint64) *Faults {
	return &Faults{random: rand.New(rand.NewPCG(seed, seed)), changed: make(chan struct{})}
}

// Set replaces all faults, or none when one of them is invalid.
func (f *Faults) Set(faults ...Fault) error {
	replacement := make([]*ActiveFault, 0, len(faults))
	for index, fault := range faults {
		if err := fault.Validate(); err != nil {
			return trace.BadParameter("faults[%d].%v", index, err)
		}
		replacement = append(replacement, activate(fault))
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.active = replacement
	close(f.changed)
	f.changed = make(chan struct{})
	return nil
}

// Clear ends all faults.
func (f *Faults) Clear() { _ = f.Set() } // an empty set is valid

// List returns the faults in force.
func (f *Faults) List() []ActiveFault {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	list := make([]ActiveFault, 0, len(f.active))
	for _, active := range f.active {
		list = append(list, *active)
	}
	return list
}

// hits returns the faults of the given kinds that strike a request now.
func (f *Faults) hits(operation Operation, key string, kinds ...FaultKind) []Fault {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var struck []Fault
	for _, active := range f.active {
		if slices.Contains(kinds, active.Kind) && active.matches(operation, key) && f.strikes(active) {
			struck = append(struck, active.Fault)
		}
	}
	return struck
}

// strikes decides about one matching request; called with the mutex held.
func (f *Faults) strikes(active *ActiveFault) bool {
	active.Matched++
	if active.Matched <= active.Skip {
		return false
	}
	if active.Count > 0 && active.Hit >= active.Count {
		return false
	}
	if active.limiter != nil && active.limiter.Allow() {
		return false
	}
	if active.Probability > 0 && f.random.Float64() >= active.Probability {
		return false
	}
	active.Hit++
	return true
}

// changes returns a channel that closes when the set changes.
func (f *Faults) changes() <-chan struct{} {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.changed
}

// String names a fault in errors.
func (f Fault) String() string { return fmt.Sprintf("fault %s", f.Kind) }
