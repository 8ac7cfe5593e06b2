// Package backend is a stand-in for the back ends of the mesh: it has slots,
// starts cold, sheds, drains, notices cancellation, can lie about its health
// and load, and can break exchanges on purpose. It records every numbered
// request in a ledger, so that callers' outcomes can be checked against what
// was really run.
package backend

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"

	"github.com/kestrelstream/kestrelstream/internal/resource"
)

// Headers between load generators and stand-in back ends.
const (
	// HeaderNumber carries the number of a request and of its answer.
	HeaderNumber = "Lab-Number"
	// HeaderName carries the name of the back end that answered.
	HeaderName = "Lab-Backend"
	// HeaderShed marks an answer as a refusal before any work.
	HeaderShed = "Lab-Shed"
	// HeaderLoad carries the share of slots in use, from 0 to 1.
	HeaderLoad = "Kestrel-Load"
)

// ShedValue is the value of HeaderShed on a refusal.
const ShedValue = "true"

// Paths the back end serves besides its work.
const (
	PathHealth    = "/health"
	PathLoad      = "/load"
	PathLedger    = "/lab/ledger"
	PathBehaviour = "/lab/behaviour"
	PathDrain     = "/lab/drain"
	PathCounts    = "/lab/counts"
)

// Options describe one back end.
type Options struct {
	Name    string
	Service string
	Zone    string
	// Slots is how many requests run at once; beyond them it sheds.
	Slots int
	// ColdStart is how long after the start work takes longer than usual.
	ColdStart time.Duration
	// Behaviour at the start; the zero value answers at once.
	Behaviour Behaviour
	// Ledger records requests.
	Ledger *Ledger
}

// Counts sum up what a back end did.
type Counts struct {
	Arrivals      uint64 `json:"arrivals"`
	Runs          uint64 `json:"runs"`
	Answers       uint64 `json:"answers"`
	Sheds         uint64 `json:"sheds"`
	Cancellations uint64 `json:"cancellations"`
	Faults        uint64 `json:"faults"`
	// InFlight is the number of slots in use.
	InFlight int64 `json:"inFlight"`
	// PeakInFlight is the most slots that were in use at once.
	PeakInFlight int64 `json:"peakInFlight"`
	// NewWorkAfterDrain is the time between the start of the drain and the
	// last request that arrived after it; zero when none did.
	NewWorkAfterDrain resource.Duration `json:"newWorkAfterDrain,omitempty"`
}

// Backend is one stand-in back end. It is safe for concurrent use.
type Backend struct {
	options   Options
	salt      uint64
	started   time.Time
	behaviour atomic.Pointer[Behaviour]
	server    *http.Server

	inFlight     atomic.Int64
	peakInFlight atomic.Int64
	arrivals     atomic.Uint64
	runs         atomic.Uint64
	answers      atomic.Uint64
	sheds        atomic.Uint64
	cancels      atomic.Uint64
	faults       atomic.Uint64
	// drainStart is the Unix time in nanoseconds, zero when not draining.
	drainStart   atomic.Int64
	lastNewWork  atomic.Int64
	laggingLoad  laggedLoad
	stallChanged stallGate
}

// New returns a back end that is started but not yet served.
func New(options Options) *Backend {
	if options.Ledger == nil {
		options.Ledger = NewLedger(defaultLedgerCapacity)
	}
	backend := &Backend{options: options, salt: xxhash.Sum64String(options.Name), started: time.Now()}
	behaviour := options.Behaviour
	backend.behaviour.Store(&behaviour)
	backend.stallChanged.change()
	backend.server = &http.Server{Handler: backend.Handler(), ReadHeaderTimeout: readHeaderTimeout}
	return backend
}

const (
	defaultLedgerCapacity = 1 << 17
	readHeaderTimeout     = 10 * time.Second
)

// Name returns the back end's name.
func (b *Backend) Name() string { return b.options.Name }

// Ledger returns the record of numbered requests.
func (b *Backend) Ledger() *Ledger { return b.options.Ledger }

// Handler returns the HTTP handler of the back end.
func (b *Backend) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathHealth, b.serveHealth)
	mux.HandleFunc("GET "+PathLoad, b.serveLoad)
	mux.HandleFunc("GET "+PathLedger, b.serveLedger)
	mux.HandleFunc("GET "+PathCounts, b.serveCounts)
	mux.HandleFunc("PUT "+PathBehaviour, b.serveBehaviour)
	mux.HandleFunc("POST "+PathDrain, b.serveDrain)
	mux.HandleFunc("/", b.serveWork)
	return mux
}

// Serve answers requests on a listener until Stop or Kill.
func (b *Backend) Serve(listener net.Listener) error {
	err := b.server.Serve(listener)
	if err == http.ErrServerClosed {
		return nil
	}
	return trace.Wrap(err, "serve back end %s on %s", b.options.Name, listener.Addr())
}

// SetBehaviour replaces the behaviour.
func (b *Backend) SetBehaviour(behaviour Behaviour) {
	b.behaviour.Store(&behaviour)
	b.stallChanged.change()
}

// Behaviour returns the current behaviour.
func (b *Backend) Behaviour() Behaviour { return *b.behaviour.Load() }

// Drain makes a truthful health endpoint say so. Requests are still accepted:
// the mesh has to stop sending them.
func (b *Backend) Drain() {
	b.drainStart.CompareAndSwap(0, time.Now().UnixNano())
}

// Draining reports whether Drain was called.
func (b *Backend) Draining() bool { return b.drainStart.Load() != 0 }

// Stop ends the back end once its requests are answered or the context ends.
func (b *Backend) Stop(ctx context.Context) error {
	b.Drain()
	return trace.Wrap(b.server.Shutdown(ctx), "stop back end %s", b.options.Name)
}

// Kill closes the listener and every connection at once.
func (b *Backend) Kill() error { return b.server.Close() }

// Counts returns the sums so far.
func (b *Backend) Counts() Counts {
	counts := Counts{
		Arrivals: b.arrivals.Load(), Runs: b.runs.Load(), Answers: b.answers.Load(),
		Sheds: b.sheds.Load(), Cancellations: b.cancels.Load(), Faults: b.faults.Load(),
		InFlight: b.inFlight.Load(), PeakInFlight: b.peakInFlight.Load(),
	}
	if last := b.lastNewWork.Load(); last != 0 {
		counts.NewWorkAfterDrain = resource.Duration(last - b.drainStart.Load())
	}
	return counts
}

// stallGate lets stalled requests wait for the next change of behaviour.
type stallGate struct {
	mutex sync.Mutex
	// changed is closed at each change; the mutex owns the variable.
	changed chan struct{}
}

func (g *stallGate) change() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.changed != nil {
		close(g.changed)
	}
	g.changed = make(chan struct{})
}

func (g *stallGate) wait() <-chan struct{} {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.changed
}
