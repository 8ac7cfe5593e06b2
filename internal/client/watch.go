package client

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	v1 "github.com/kestrelstream/kestrelstream/internal/api/v1"
	"github.com/kestrelstream/kestrelstream/internal/resource"
)

// watchSilence is how long a watch may be silent before it counts as dead; the
// server shows a running one to be alive more often.
const watchSilence = 45 * time.Second

// ErrResync means that the changes after a version are no longer held; list and
// watch anew.
var ErrResync = errors.New("client: changes no longer held")

// Watch calls handle for every event after a version, bookmarks included, until
// the watch ends, and says why it did. An error of handle ends it.
func (c *Client) Watch(ctx context.Context, after uint64, kind resource.Kind, handle func(v1.Event) error) error {
	watchContext, cancel := context.WithCancel(ctx)
	defer cancel()
	silence := time.AfterFunc(watchSilence, cancel)
	defer silence.Stop()
	query := url.Values{"after": {strconv.FormatUint(after, 10)}}
	if kind != "" {
		query.Set("kind", string(kind))
	}
	response, err := c.send(watchContext, http.MethodGet, c.url(query, v1.PathWatch), nil, "")
	if err != nil {
		return c.wrap("watch", err)
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusGone {
		return c.wrap("watch", ErrResync)
	}
	if response.StatusCode != http.StatusOK {
		return c.wrap("watch", problem(response))
	}
	return c.wrap("watch", receive(response, silence, handle))
}

// receive passes events on until the stream ends.
func receive(response *http.Response, silence *time.Timer, handle func(v1.Event) error) error {
	lines := json.NewDecoder(response.Body)
	for {
		var event v1.Event
		if err := lines.Decode(&event); err != nil {
			return fmt.Errorf("%w: watch cut: %w", ErrAnswerLost, err)
		}
		silence.Reset(watchSilence)
		if event.Type == v1.EventResync {
			return ErrResync
		}
		if err := handle(event); err != nil {
			return err
		}
	}
}

// HistoryRequest selects what History returns.
type HistoryRequest struct {
	// After is the version after which to begin.
	After uint64
	// Kind and Name, when set, select the changes of these resources.
	Kind resource.Kind
	Name string
	// Limit bounds the batches; zero leaves it to the server.
	Limit int
}

// History returns who changed what, oldest first.
func (c *Client) History(ctx context.Context, request HistoryRequest) (v1.History, error) {
	query := url.Values{}
	set := func(name, value string, given bool) {
		if given {
			query.Set(name, value)
		}
	}
	set("after", strconv.FormatUint(request.After, 10), request.After != 0)
	set("kind", string(request.Kind), request.Kind != "")
	set("name", request.Name, request.Name != "")
	set("limit", strconv.Itoa(request.Limit), request.Limit != 0)
	return fetch[v1.History](ctx, c, "history", query, v1.PathHistory)
}
