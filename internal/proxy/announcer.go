package proxy

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/kestrelstream/kestrelstream/internal/endpoint"
	"github.com/kestrelstream/kestrelstream/internal/proxy/health"
	"github.com/kestrelstream/kestrelstream/internal/strictreply"
)

// answerReportInterval is the minimum time between two answered requests that
// are reported to the health core.
const answerReportInterval = 100 * time.Millisecond

// announcer determines the state of the local back end. It polls the back end's
// health endpoint and notifies observers of state changes.
type announcer struct {
	options Options
	client  *http.Client
	// lastReported is the time of the last answer reported to the core, in Unix
	// nanoseconds.
	lastReported atomic.Int64

	mutex     sync.Mutex // guards the fields below
	core      *health.Tracker
	announced endpoint.Update
	observers []func(endpoint.Update)
}

func newAnnouncer(options Options) *announcer {
	backend := options.Backend
	created := &announcer{options: options, core: health.New()}
	created.client = &http.Client{
		Transport: strictreply.NewTransport(&http.Transport{DialContext: options.Dial, DisableKeepAlives: true}),
		Timeout:   backend.HealthInterval,
	}
	created.announced = endpoint.Update{
		ID:          endpoint.ID{Service: backend.Service, Name: backend.Endpoint},
		Incarnation: options.Node.Incarnation,
		Sequence:    1,
		State:       endpoint.Down,
		Zone:        options.Node.Zone,
		Address:     backend.InboundAddress,
		Labels:      backend.Labels,
	}
	return created
}

// observe registers an observer and calls it with the current state. Observers
// are called for one change at a time and must not block.
func (a *announcer) observe(observer func(endpoint.Update)) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.observers = append(a.observers, observer)
	observer(a.announced)
}

// updateCore applies a change to the core and notifies the observers if the
// state has changed.
func (a *announcer) updateCore(apply func(core *health.Tracker)) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	apply(a.core)
	if a.core.State() == a.announced.State {
		return
	}
	a.announced.State = a.core.State()
	a.announced.Sequence++
	for _, observer := range a.observers {
		observer(a.announced)
	}
}

func (a *announcer) beginDrain() { a.updateCore((*health.Tracker).BeginDrain) }
func (a *announcer) endDrain()   { a.updateCore((*health.Tracker).EndDrain) }

// recordAnswer is called for every request. To keep it cheap, most calls only
// read one atomic and return.
func (a *announcer) recordAnswer() {
	now := time.Now()
	last := a.lastReported.Load()
	if now.UnixNano()-last < int64(answerReportInterval) || !a.lastReported.CompareAndSwap(last, now.UnixNano()) {
		return
	}
	a.updateCore(func(core *health.Tracker) { core.RecordAnswer(now) })
}

func (a *announcer) recordUnreachable() {
	a.updateCore(func(core *health.Tracker) { core.RecordConnectFailure(time.Now()) })
}

// run polls the back end's health until the context ends.
func (a *announcer) run(ctx context.Context) {
	ticker := time.NewTicker(a.options.Backend.HealthInterval)
	defer ticker.Stop()
	for {
		statement := a.poll(ctx)
		if ctx.Err() != nil {
			return
		}
		a.updateCore(func(core *health.Tracker) { core.RecordPoll(time.Now(), statement) })
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// healthBody holds the fields of a health response that are evaluated.
type healthBody struct {
	State health.PollResult `json:"state"`
}

// maxHealthBodyBytes limits how much of a health response's body is read.
const maxHealthBodyBytes = 4 << 10

func (a *announcer) poll(ctx context.Context) health.PollResult {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+a.options.Backend.Address+a.options.Backend.HealthPath, nil)
	if err != nil {
		return health.PollUnreachable
	}
	response, err := a.client.Do(request)
	if err != nil {
		return statementFromError(err)
	}
	defer response.Body.Close()
	if a.options.Backend.HealthPath == "" {
		return health.PollReady
	}
	return statementFromResponse(response)
}

func statementFromError(err error) health.PollResult {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return health.PollUnreachable
	}
	return health.PollDown
}

// statementFromResponse uses the state in the body if it is consistent with the
// status code, and otherwise the status code alone. A draining state is accepted
// with any status code.
func statementFromResponse(response *http.Response) health.PollResult {
	var body healthBody
	_ = json.NewDecoder(io.LimitReader(response.Body, maxHealthBodyBytes)).Decode(&body)
	success := response.StatusCode < http.StatusMultipleChoices
	switch {
	case body.State == health.PollDraining:
		return health.PollDraining
	case success && body.State == health.PollWarming:
		return health.PollWarming
	case success:
		return health.PollReady
	default:
		return health.PollDown
	}
}
