package api

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	restful "github.com/emicklei/go-restful/v3"

	v1 "github.com/kestrelstream/kestrelstream/internal/api/v1"
)

// changeRetryAfter is offered when too many bytes of changes are in progress,
// in seconds.
const changeRetryAfter = "1"

// admitChange is the filter of every change: it bounds the bytes of bodies
// that are in progress together, so that no number of clients exhausts memory.
// A body of undeclared length counts as the longest one.
func (s *server) admitChange(request *restful.Request, response *restful.Response, chain *restful.FilterChain) {
	weight := request.Request.ContentLength
	if weight < 0 || weight > s.options.MaximumBody {
		weight = s.options.MaximumBody
	}
	if !s.changeBytes.TryAcquire(weight) {
		s.options.Metrics.refusals.WithLabelValues(refusedBytes).Inc()
		response.AddHeader("Retry-After", changeRetryAfter)
		writeProblem(response, v1.Problem{Status: http.StatusServiceUnavailable, Step: "admit-change",
			Reason: "too many changes are in progress at this node; nothing was applied"})
		return
	}
	defer s.changeBytes.Release(weight)
	chain.ProcessFilter(request, response)
}

// readBody reads the whole body within the bounds on size and time.
func (s *server) readBody(request *restful.Request, response *restful.Response) ([]byte, bool) {
	controller := http.NewResponseController(response.ResponseWriter)
	// A writer without deadlines, as in tests, is read without one.
	_ = controller.SetReadDeadline(time.Now().Add(s.options.ReadTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(response.ResponseWriter, request.Request.Body, s.options.MaximumBody))
	if err != nil {
		writeProblem(response, bodyProblem(err))
		return nil, false
	}
	_ = controller.SetReadDeadline(time.Time{})
	return body, true
}

func bodyProblem(err error) v1.Problem {
	problem := v1.Problem{Step: "read-body", Status: http.StatusBadRequest, Reason: "the body could not be read whole; nothing was applied"}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		problem.Status = http.StatusRequestEntityTooLarge
		problem.Reason = fmt.Sprintf("the body must be at most %d bytes; nothing was applied", tooLarge.Limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		problem.Status = http.StatusRequestTimeout
		problem.Reason = "the body did not arrive in time; nothing was applied"
	}
	return problem
}
