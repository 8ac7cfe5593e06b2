package api

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	restful "github.com/emicklei/go-restful/v3"
	"github.com/google/uuid"
	"go.uber.org/zap"

	v1 "github.com/kestrelstream/kestrelstream/internal/api/v1"
	"github.com/kestrelstream/kestrelstream/internal/command"
	"github.com/kestrelstream/kestrelstream/internal/resource"
	"github.com/kestrelstream/kestrelstream/internal/telemetry"
)

// absent is the precondition that a resource does not exist.
var absent = uint64(0)

func (s *server) create(request *restful.Request, response *restful.Response) {
	declared, ok := s.readResource(request, response)
	if ok {
		s.apply(request, response, []resource.Change{{Action: resource.ActionPut, Resource: declared, IfVersion: &absent}})
	}
}

func (s *server) update(request *restful.Request, response *restful.Response) {
	declared, ok := s.readResource(request, response)
	if !ok {
		return
	}
	precondition, ok := readPrecondition(request, response)
	if ok {
		s.apply(request, response, []resource.Change{{Action: resource.ActionPut, Resource: declared, IfVersion: precondition}})
	}
}

func (s *server) remove(request *restful.Request, response *restful.Response) {
	kind, ok := readKind(request, response)
	if !ok {
		return
	}
	precondition, ok := readPrecondition(request, response)
	if !ok {
		return
	}
	key := resource.Key{Kind: kind, Name: request.PathParameter("name")}
	s.apply(request, response, []resource.Change{{Action: resource.ActionDelete, Key: key, IfVersion: precondition}})
}

func (s *server) batch(request *restful.Request, response *restful.Response) {
	body, ok := s.readBody(request, response)
	if !ok {
		return
	}
	changes, err := resource.DecodeChanges(body)
	if err == nil && len(changes) > s.options.MaximumChanges {
		err = tooManyChanges(s.options.MaximumChanges)
	}
	if err != nil {
		s.writeRejected(request, response, err)
		return
	}
	s.apply(request, response, changes)
}

func tooManyChanges(limit int) error {
	fault := resource.FieldError{Path: "changes", Reason: fmt.Sprintf("must be at most %d, by this server's settings", limit)}
	return &resource.RejectionError{Fields: []resource.FieldError{fault}}
}

// readResource reads the body as one resource of the kind, and the name if
// any, that the path says.
func (s *server) readResource(request *restful.Request, response *restful.Response) (*resource.Resource, bool) {
	kind, ok := readKind(request, response)
	if !ok {
		return nil, false
	}
	body, ok := s.readBody(request, response)
	if !ok {
		return nil, false
	}
	declared, err := resource.DecodeJSON(body)
	if err == nil {
		err = matchPath(declared, kind, request.PathParameter("name"))
	}
	if err != nil {
		s.writeRejected(request, response, err)
		return nil, false
	}
	return declared, true
}

func matchPath(declared *resource.Resource, kind resource.Kind, name string) error {
	fault := resource.FieldError{Kind: declared.Kind, Name: declared.Metadata.Name}
	switch {
	case declared.Kind != kind:
		fault.Path, fault.Reason = "kind", fmt.Sprintf("must be %s, as the path says", kind)
	case name != "" && declared.Metadata.Name != name:
		fault.Path, fault.Reason = "metadata.name", "must be the name in the path"
	default:
		return nil
	}
	return &resource.RejectionError{Fields: []resource.FieldError{fault}}
}

// readPrecondition reads the query parameter resourceVersion; nil when absent.
func readPrecondition(request *restful.Request, response *restful.Response) (*uint64, bool) {
	version, given, ok := readNumber(request, response, "resourceVersion")
	if !given || !ok {
		return nil, ok
	}
	return &version, true
}

// apply decides the changes and writes the outcome.
func (s *server) apply(request *restful.Request, response *restful.Response, changes []resource.Change) {
	dryRun, ok := readFlag(request, response, "dryRun")
	if !ok {
		return
	}
	batch := resource.Batch{Operation: operation(request), Changes: changes}
	start := time.Now()
	outcome, cause := s.commands.Apply(request.Request.Context(), batch, dryRun)
	s.options.Metrics.decided(outcome, time.Since(start))
	s.logOutcome(batch, outcome, cause)
	writeOutcome(response, outcome)
}

// logOutcome writes one line for every change that was to be written. It holds
// no content of the change.
func (s *server) logOutcome(batch resource.Batch, outcome v1.Outcome, cause error) {
	if outcome.DryRun {
		return
	}
	fields := []zap.Field{
		zap.String("step", "apply"), zap.String("operation", outcome.OperationID), zap.String("actor", batch.Operation.Actor),
		zap.Int("changes", len(batch.Changes)), zap.String("result", string(outcome.Result)), zap.Uint64("version", outcome.Version),
	}
	if cause != nil {
		s.options.Logger.Warn("change not decided", append(fields, telemetry.Error(cause))...)
		return
	}
	s.options.Logger.Info("change decided", fields...)
}

// operation identifies the request; an id is made when the client gave none.
func operation(request *restful.Request) resource.Operation {
	return resource.Operation{ID: operationID(request), Actor: actorOf(request), Time: time.Now().UTC()}
}

func operationID(request *restful.Request) string {
	if id := request.HeaderParameter(v1.OperationIDHeader); id != "" {
		return id
	}
	return uuid.NewString()
}

// writeRejected answers a body that could not be decoded.
func (s *server) writeRejected(request *restful.Request, response *restful.Response, err error) {
	outcome := v1.Outcome{Result: command.Rejected, OperationID: operationID(request)}
	var rejected *resource.RejectionError
	if errors.As(err, &rejected) {
		outcome.Fields = rejected.Fields
	} else {
		outcome.Reason = err.Error()
	}
	writeOutcome(response, outcome)
}

func writeOutcome(response *restful.Response, outcome v1.Outcome) {
	response.AddHeader(v1.OperationIDHeader, outcome.OperationID)
	if outcome.RetryAfter > 0 {
		response.AddHeader("Retry-After", strconv.Itoa(wholeSeconds(outcome.RetryAfter)))
	}
	writeJSON(response, outcomeStatus(outcome), outcome)
}

func outcomeStatus(outcome v1.Outcome) int {
	switch outcome.Result {
	case command.Accepted:
		return http.StatusOK
	case command.Conflict:
		return http.StatusConflict
	case command.Unknown:
		return http.StatusGatewayTimeout
	}
	if outcome.RetryAfter > 0 {
		return http.StatusServiceUnavailable
	}
	return http.StatusUnprocessableEntity
}

// wholeSeconds rounds up, since Retry-After knows no fractions.
func wholeSeconds(duration time.Duration) int {
	return int((duration + time.Second - 1) / time.Second)
}
