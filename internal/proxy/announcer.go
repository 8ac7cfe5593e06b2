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
)

// answeredEvery bounds how often an answered request is told to the core.
const answeredEvery = 100 * time.Millisecond

// announcer is the authority on the state of the back end beside the proxy. It
// polls the back end's health and tells observers of changes.
type announcer struct {
	options Options
	client  *http.Client
	// lastAnswer is Unix nanoseconds of the last answer told to the core.
	lastAnswer atomic.Int64

	mutex     sync.Mutex // guards all below
	core      *health.Tracker
	announced endpoint.Update
	observers []func(endpoint.Update)
}

func newAnnouncer(options Options) *announcer {
	backend := options.Backend
	created := &announcer{options: options, core: health.New()}
	created.client = &http.Client{
		Transport: &http.Transport{DialContext: options.Dial, DisableKeepAlives: true},
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

// observe adds an observer and tells it the present state. Observers are
// called one change after the other and must not block.
func (a *announcer) observe(observer func(endpoint.Update)) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.observers = append(a.observers, observer)
	observer(a.announced)
}

// change lets the core take something in and announces what follows.
func (a *announcer) change(apply func(core *health.Tracker)) {
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

func (a *announcer) leave()    { a.change((*health.Tracker).BeginDrain) }
func (a *announcer) comeBack() { a.change((*health.Tracker).EndDrain) }

// answered is on the path of every request, so that it mostly only reads.
func (a *announcer) answered() {
	now := time.Now()
	last := a.lastAnswer.Load()
	if now.UnixNano()-last < int64(answeredEvery) || !a.lastAnswer.CompareAndSwap(last, now.UnixNano()) {
		return
	}
	a.change(func(core *health.Tracker) { core.RecordAnswer(now) })
}

func (a *announcer) unreachable() {
	a.change(func(core *health.Tracker) { core.RecordConnectFailure(time.Now()) })
}

// run polls until the context ends.
func (a *announcer) run(ctx context.Context) {
	ticker := time.NewTicker(a.options.Backend.HealthInterval)
	defer ticker.Stop()
	for {
		says := a.poll(ctx)
		if ctx.Err() != nil {
			return
		}
		a.change(func(core *health.Tracker) { core.RecordPoll(time.Now(), says) })
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// healthBody is the part of a health reply that is understood.
type healthBody struct {
	State health.PollResult `json:"state"`
}

// healthBodyLimit bounds what is read of a health reply, in bytes.
const healthBodyLimit = 4 << 10

func (a *announcer) poll(ctx context.Context) health.PollResult {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+a.options.Backend.Address+a.options.Backend.HealthPath, nil)
	if err != nil {
		return health.PollUnreachable
	}
	response, err := a.client.Do(request)
	if err != nil {
		return statementOfError(err)
	}
	defer response.Body.Close()
	if a.options.Backend.HealthPath == "" {
		return health.PollReady
	}
	return statementOfReply(response)
}

func statementOfError(err error) health.PollResult {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return health.PollUnreachable
	}
	return health.PollDown
}

// statementOfReply believes the body where it names a state that fits the
// status, else the status alone.
func statementOfReply(response *http.Response) health.PollResult {
	var body healthBody
	_ = json.NewDecoder(io.LimitReader(response.Body, healthBodyLimit)).Decode(&body)
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
