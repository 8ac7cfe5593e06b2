package httpclient

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/kestrelstream/kestrelstream/internal/store"
	"github.com/kestrelstream/kestrelstream/internal/store/wire"
)

// watchSilence is how long a watch may be silent before it counts as dead; the
// store shows a running watch to be alive more often.
const watchSilence = 15 * time.Second

type watch struct {
	client *Client
	cancel context.CancelFunc
	events chan store.Event

	mutex sync.Mutex
	err   error // guarded by mutex
}

// Watch implements store.Reader.
func (c *Client) Watch(ctx context.Context, prefix string, afterRevision uint64) (store.Watch, error) {
	watchContext, cancel := context.WithCancel(ctx)
	opening := time.AfterFunc(c.timeout, cancel)
	response, err := c.send(watchContext, wire.PathWatch, wire.WatchRequest{Prefix: prefix, AfterRevision: afterRevision})
	if !opening.Stop() && err == nil {
		response.Body.Close()
		err = fmt.Errorf("%w: no answer within %v", store.ErrUnavailable, c.timeout)
	}
	if err != nil {
		cancel()
		return nil, c.wrap("watch", err)
	}
	running := &watch{client: c, cancel: cancel, events: make(chan store.Event)}
	go running.run(watchContext, response)
	return running, nil
}

func (w *watch) run(ctx context.Context, response *http.Response) {
	defer close(w.events)
	defer w.cancel()
	defer response.Body.Close()
	err := w.receive(ctx, response)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.err = w.client.wrap("watch", err)
}

// receive hands events over until the stream ends, and says why it did.
func (w *watch) receive(ctx context.Context, response *http.Response) error {
	silence := time.AfterFunc(watchSilence, w.cancel)
	defer silence.Stop()
	lines := json.NewDecoder(response.Body)
	for {
		silence.Reset(watchSilence)
		var line wire.WatchLine
		if err := lines.Decode(&line); err != nil {
			return fmt.Errorf("%w: watch cut: %w", store.ErrUnavailable, err)
		}
		silence.Stop()
		if line.End != nil {
			return ended(*line.End)
		}
		if line.Event == nil {
			continue
		}
		select {
		case w.events <- *line.Event:
		case <-ctx.Done():
			return fmt.Errorf("%w: %w", store.ErrUnavailable, ctx.Err())
		}
	}
}

// ended turns the reason in a watch's last line into the port's error.
func ended(reason wire.Error) error {
	if sentinel, known := reason.Sentinel(); known {
		return fmt.Errorf("%w: %s", sentinel, reason.Message)
	}
	return fmt.Errorf("%w: %s", store.ErrUnavailable, reason.Message)
}

// Events implements store.Watch.
func (w *watch) Events() <-chan store.Event { return w.events }

// Err implements store.Watch.
func (w *watch) Err() error {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.err
}

// Close implements store.Watch.
func (w *watch) Close() { w.cancel() }
