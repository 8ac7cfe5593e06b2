package mesh

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"github.com/kestrelstream/kestrelstream/internal/load"
)

// callBody is what calls with a body carry.
const callBody = `{"reference":"example"}`

// Targets returns every kind of call at every entrance.
func (m *Mesh) Targets() []load.Target {
	deadlines := m.deadlines()
	var targets []load.Target
	for _, entrance := range m.Entrances {
		for _, call := range m.options.Deployment.Calls {
			target := Target(entrance, call)
			target.Deadline = deadlines[call.Service]
			targets = append(targets, target)
		}
	}
	return targets
}

// deadlines returns the deadline of each service at the launch.
func (m *Mesh) deadlines() map[string]time.Duration {
	found := map[string]time.Duration{}
	resources, err := m.initialResources()
	if err != nil {
		return found
	}
	for _, declared := range resources {
		if declared.Service != nil {
			found[declared.Metadata.Name] = time.Duration(declared.Service.Deadline)
		}
	}
	return found
}

// Target returns one kind of call at one entrance.
func Target(entrance *ProxyNode, call Call) load.Target {
	target := load.Target{
		Name: call.Name, Service: call.Service, Entrance: entrance.Name(),
		Method: call.Method, URL: "http://" + entrance.OutboundAddress() + call.Path, Host: call.Host,
		Repeatable: call.Repeatable, Weight: call.Weight,
	}
	if call.Method == http.MethodPost || call.Method == http.MethodPut {
		target.Body = []byte(callBody)
	}
	return target
}

// readyInterval is how often WaitAnswered tries a call again.
const readyInterval = 10 * time.Millisecond

// WaitAnswered returns once each target's call is answered. The calls carry no
// number.
func WaitAnswered(ctx context.Context, targets []load.Target) error {
	transport := load.NewTransport()
	defer transport.CloseIdleConnections()
	for index := range targets {
		if err := waitAnswered(ctx, transport, &targets[index]); err != nil {
			return err
		}
	}
	return nil
}

func waitAnswered(ctx context.Context, transport http.RoundTripper, target *load.Target) error {
	for {
		status, reason := tryCall(ctx, transport, target)
		if status == http.StatusOK {
			return nil
		}
		select {
		case <-time.After(readyInterval):
		case <-ctx.Done():
			return trace.LimitExceeded("call %s at %s is not answered: status %d (%s)", target.Name, target.Entrance, status, reason)
		}
	}
}

func tryCall(ctx context.Context, transport http.RoundTripper, target *load.Target) (status int, reason string) {
	request, err := target.Probe(ctx)
	if err != nil {
		return 0, err.Error()
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode, response.Header.Get("Kestrel-Error")
}

// Launch starts a mesh, applies its resources and returns once they are in
// force and every kind of call is answered at every entrance.
func Launch(ctx context.Context, options Options) (*Mesh, *Launched, error) {
	launched, err := New(options)
	if err != nil {
		return nil, nil, err
	}
	if err := launched.Start(); err != nil {
		return launched, nil, err
	}
	result, err := launched.bringUp(ctx)
	return launched, result, err
}

// Launched says how a mesh came up.
type Launched struct {
	// Version is that of the first change.
	Version uint64
	// InForce is the time from the accepted reply until every proxy enforced
	// it.
	InForce time.Duration
	// Answered is the time from then until every kind of call was answered.
	Answered time.Duration
}

func (m *Mesh) bringUp(ctx context.Context) (*Launched, error) {
	version, err := m.applyInitial(ctx)
	if err != nil {
		return nil, err
	}
	inForce, err := m.WaitInForce(ctx, version)
	if err != nil {
		return nil, err
	}
	start := time.Now()
	err = WaitAnswered(ctx, m.Targets())
	return &Launched{Version: version, InForce: inForce, Answered: time.Since(start)}, err
}
