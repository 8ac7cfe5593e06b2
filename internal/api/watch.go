package api

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	restful "github.com/emicklei/go-restful/v3"

	v1 "github.com/kestrelstream/kestrelstream/internal/api/v1"
	"github.com/kestrelstream/kestrelstream/internal/query"
	"github.com/kestrelstream/kestrelstream/internal/resource"
)

// mimeJSONLines is the content type of a watch.
const mimeJSONLines = "application/x-ndjson"

// watchRetryAfter is offered when too many watches run, in seconds.
const watchRetryAfter = "5"

func (s *server) watch(request *restful.Request, response *restful.Response) {
	after, kind, ok := s.readWatch(request, response)
	if !ok {
		return
	}
	if refusal, reason := s.enterWatch(); refusal != "" {
		s.options.Metrics.refusals.WithLabelValues(refusal).Inc()
		response.AddHeader("Retry-After", watchRetryAfter)
		writeProblem(response, v1.Problem{Status: http.StatusServiceUnavailable, Step: "watch", Reason: reason})
		return
	}
	s.options.Metrics.watches.Inc()
	defer s.leaveWatch()
	changes, held := s.queries.ChangesAfter(after, kind)
	if !held {
		writeProblem(response, v1.Problem{Status: http.StatusGone, Step: "watch",
			Reason: "changes after this version are no longer held; list and watch anew"})
		return
	}
	response.AddHeader("Content-Type", mimeJSONLines)
	response.WriteHeader(http.StatusOK)
	s.stream(request.Request.Context(), response.ResponseWriter, kind, changes)
}

// enterWatch takes a token of watches, or says why there is none.
func (s *server) enterWatch() (refusal, reason string) {
	select {
	case <-s.stopping:
		return refusedStopping, "this node is stopping"
	default:
	}
	select {
	case s.watches <- struct{}{}:
		return "", ""
	default:
		return refusedWatches, "too many watches run at this node"
	}
}

func (s *server) leaveWatch() {
	<-s.watches
	s.options.Metrics.watches.Dec()
}

func (s *server) readWatch(request *restful.Request, response *restful.Response) (uint64, resource.Kind, bool) {
	after, given, ok := readNumber(request, response, "after")
	if !ok {
		return 0, "", false
	}
	if !given {
		after = s.queries.Status().Version
	}
	text := request.QueryParameter("kind")
	if text == "" {
		return after, "", true
	}
	kind, ok := parseKind(response, text)
	return after, kind, ok
}

// stream writes events until the client leaves, cannot keep up, or asks for
// what is no longer held, or the node stops. Each group of events ends with a
// bookmark, so the client knows from where to resume.
func (s *server) stream(ctx context.Context, writer http.ResponseWriter, kind resource.Kind, changes query.Changes) {
	ticker := time.NewTicker(s.options.Heartbeat)
	defer ticker.Stop()
	for {
		if err := s.writeEvents(writer, changes.Events); err != nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-s.stopping:
			return
		case <-ticker.C:
		case <-changes.Next:
		}
		next, held := s.queries.ChangesAfter(changes.Version, kind)
		if !held {
			_ = s.writeEvents(writer, []v1.Event{{Type: v1.EventResync, Version: changes.Version}})
			return
		}
		changes = next
	}
}

// writeEvents writes and flushes one group of events within the write timeout.
func (s *server) writeEvents(writer http.ResponseWriter, events []v1.Event) error {
	controller := http.NewResponseController(writer)
	// A writer without deadlines, as in tests, is used without one.
	_ = controller.SetWriteDeadline(time.Now().Add(s.options.WriteTimeout))
	encoder := json.NewEncoder(writer)
	for _, event := range events {
		if err := encoder.Encode(event); err != nil {
			return err
		}
	}
	return controller.Flush()
}
