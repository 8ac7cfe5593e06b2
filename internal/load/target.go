package load

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/gravitational/trace"

	"github.com/kestrelstream/kestrelstream/internal/standin/backend"
)

// Target is one kind of call.
type Target struct {
	Name string
	// Service is the service the call is meant for.
	Service string
	// Entrance names the caller's proxy the call goes through; empty for
	// calls made to a back end directly.
	Entrance string
	Method   string
	// URL is the address and path the call is sent to.
	URL string
	// Host is the host of the request when it is not that of the URL.
	Host string
	// Body is sent with every call.
	Body []byte
	// Deadline is the service's; a call that took as long may have been ended
	// by it. Zero means unknown.
	Deadline time.Duration
	// Repeatable calls may run more than once.
	Repeatable bool
	// Weight is the share of calls of this kind among all targets' weights.
	Weight int
}

// request builds the call with that number.
func (t *Target) request(ctx context.Context, number uint64) (*http.Request, error) {
	request, err := t.Probe(ctx)
	if err != nil {
		return nil, err
	}
	request.Header.Set(backend.HeaderNumber, strconv.FormatUint(number, 10))
	return request, nil
}

// Probe builds the call without a number: it is answered but not recorded.
func (t *Target) Probe(ctx context.Context) (*http.Request, error) {
	var body io.Reader
	if len(t.Body) > 0 {
		body = bytes.NewReader(t.Body)
	}
	request, err := http.NewRequestWithContext(ctx, t.Method, t.URL, body)
	if err != nil {
		return nil, trace.Wrap(err, "build request of target %s", t.Name)
	}
	if t.Host != "" {
		request.Host = t.Host
	}
	return request, nil
}

// neverResend keeps the client's transport from sending a call without a body
// again by itself when a connection kept alive dies: the first sending may have
// run, and the account would hold its run against the outcome of the second. A
// body of unknown length that turns out empty cannot be sent again.
func neverResend(request *http.Request) {
	if request.Body == nil {
		request.Body = io.NopCloser(bytes.NewReader(nil))
	}
}

// picker chooses the target of each call by weight.
type picker struct {
	seed       uint64
	cumulative []uint32
}

func newPicker(seed uint64, targets []Target) *picker {
	chosen := &picker{seed: seed}
	var sum uint32
	for _, target := range targets {
		sum += uint32(max(1, target.Weight))
		chosen.cumulative = append(chosen.cumulative, sum)
	}
	return chosen
}

func (p *picker) pick(number uint64) int {
	drawn := draw(p.seed, streamTargets, number, p.cumulative[len(p.cumulative)-1])
	for index, bound := range p.cumulative {
		if drawn < bound {
			return index
		}
	}
	return len(p.cumulative) - 1
}
