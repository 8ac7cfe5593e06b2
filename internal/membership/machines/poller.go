package machines

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/kestrelstream/kestrelstream/internal/telemetry"
)

// Path is the URL path of the platform's machine list.
const Path = "/v1/machines"

const (
	// requestTimeout is the time limit of one request for the list.
	requestTimeout = 5 * time.Second
	// maximumListBytes is the maximum size of a response body; a larger one is
	// rejected as a whole.
	maximumListBytes = 4 << 20
)

// Poller fetches the machine list periodically and reports machines that start
// leaving.
type Poller struct {
	// Address is the IP:port address of the platform.
	Address string
	// Interval is the polling interval.
	Interval time.Duration
	// Leaving is called for each machine that starts leaving.
	Leaving func(ctx context.Context, machine Machine)
	Logger  *zap.Logger
	// Client sends the requests; nil means http.DefaultClient.
	Client *http.Client
}

// Run polls until ctx is done. A failed request is logged and does not change the
// tracked state: machines reported as leaving remain so.
func (p *Poller) Run(ctx context.Context) error {
	tracker := NewTracker()
	ticker := time.NewTicker(p.Interval)
	defer ticker.Stop()
	for {
		p.pollOnce(ctx, tracker)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (p *Poller) pollOnce(ctx context.Context, tracker *Tracker) {
	list, err := p.fetch(ctx)
	if err != nil {
		if ctx.Err() == nil {
			p.Logger.Warn("failed to fetch the machine list", zap.String(telemetry.StepField, "poll machine list"), zap.String(telemetry.PeerField, p.Address), telemetry.Error(err))
		}
		return
	}
	for _, machine := range tracker.Observe(list) {
		p.Leaving(ctx, machine)
	}
}

func (p *Poller) fetch(ctx context.Context) (List, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.Address+Path, nil)
	if err != nil {
		return List{}, trace.Wrap(err)
	}
	response, err := p.client().Do(request)
	if err != nil {
		return List{}, trace.Wrap(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return List{}, trace.BadParameter("platform returned status %s for the machine list", response.Status)
	}
	return decode(response.Body)
}

func (p *Poller) client() *http.Client {
	if p.Client == nil {
		return http.DefaultClient
	}
	return p.Client
}

func decode(body io.Reader) (List, error) {
	content, err := io.ReadAll(io.LimitReader(body, maximumListBytes+1))
	if err != nil {
		return List{}, trace.Wrap(err)
	}
	if len(content) > maximumListBytes {
		return List{}, trace.LimitExceeded("machine list exceeds %d bytes", maximumListBytes)
	}
	var list List
	if err := json.Unmarshal(content, &list); err != nil {
		return List{}, trace.Wrap(err, "decode machine list")
	}
	return list, nil
}
