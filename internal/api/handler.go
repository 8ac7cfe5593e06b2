// Package api serves the resource API over HTTP with go-restful: reads, lists
// and watches of resources, changes and atomic batches of them, the history of
// changes and where a version is in force. It parses requests, calls the
// command or the query side and renders their answers; it decides nothing.
package api

import (
	"net/http"
	"sync"
	"time"

	restful "github.com/emicklei/go-restful/v3"
	"go.uber.org/zap"
	"golang.org/x/sync/semaphore"

	v1 "github.com/kestrelstream/kestrelstream/internal/api/v1"
	"github.com/kestrelstream/kestrelstream/internal/command"
	"github.com/kestrelstream/kestrelstream/internal/query"
	"github.com/kestrelstream/kestrelstream/internal/resource"
)

// Options sets the bounds of the API. Zero fields take the defaults.
type Options struct {
	// Logger receives one line for every change that was to be written.
	Logger *zap.Logger
	// Authenticate returns the operator's name for the history, or an error
	// when the request may not be answered. Without it operators are
	// anonymous.
	Authenticate func(*http.Request) (actor string, err error)
	// MaximumBody bounds the body of a request, in bytes.
	MaximumBody int64
	// MaximumChanges bounds the changes of a batch; resource.MaximumChanges
	// bounds them all the same.
	MaximumChanges int
	// MaximumWatches bounds the watches that run at once.
	MaximumWatches int
	// Heartbeat is how often an idle watch sends a bookmark.
	Heartbeat time.Duration
	// WriteTimeout bounds the writing of one group of watch events.
	WriteTimeout time.Duration
	// ReadTimeout bounds the reading of one body.
	ReadTimeout time.Duration
	// ChangeBytes bounds the bodies of changes in progress together, in bytes.
	ChangeBytes int64
	// Metrics are counted up; the caller registers them.
	Metrics *Metrics
}

// Defaults of Options.
const (
	DefaultMaximumBody    = 1 << 20
	DefaultMaximumWatches = 64
	DefaultHeartbeat      = 15 * time.Second
	DefaultWriteTimeout   = 10 * time.Second
	DefaultReadTimeout    = 10 * time.Second
	DefaultChangeBytes    = 16 << 20
)

func (o Options) withDefaults() Options {
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	if o.Authenticate == nil {
		o.Authenticate = func(*http.Request) (string, error) { return "", nil }
	}
	if o.MaximumBody == 0 {
		o.MaximumBody = DefaultMaximumBody
	}
	if o.MaximumChanges == 0 {
		o.MaximumChanges = resource.MaximumChanges
	}
	if o.MaximumWatches == 0 {
		o.MaximumWatches = DefaultMaximumWatches
	}
	if o.Heartbeat == 0 {
		o.Heartbeat = DefaultHeartbeat
	}
	if o.WriteTimeout == 0 {
		o.WriteTimeout = DefaultWriteTimeout
	}
	if o.ReadTimeout == 0 {
		o.ReadTimeout = DefaultReadTimeout
	}
	if o.ChangeBytes == 0 {
		o.ChangeBytes = DefaultChangeBytes
	}
	if o.Metrics == nil {
		o.Metrics = NewMetrics()
	}
	// The largest body always fits.
	o.ChangeBytes = max(o.ChangeBytes, o.MaximumBody)
	return o
}

// Handler serves the resource API.
type Handler struct {
	http.Handler
	endWatches func()
}

// EndWatches ends the watches that run and refuses new ones, so that a planned
// stop does not wait for them. Watchers resume at another node.
func (h *Handler) EndWatches() { h.endWatches() }

// server holds what the handlers need.
type server struct {
	commands *command.Service
	queries  *query.Service
	options  Options
	// watches holds one token for each watch that runs.
	watches chan struct{}
	// stopping is closed when watches are to end.
	stopping chan struct{}
	// changeBytes holds the weight of changes in progress.
	changeBytes *semaphore.Weighted
}

// NewHandler returns the resource API over the two sides.
func NewHandler(commands *command.Service, queries *query.Service, options Options) *Handler {
	options = options.withDefaults()
	server := &server{
		commands: commands,
		queries:  queries,
		options:  options,
		watches:  make(chan struct{}, options.MaximumWatches),
		stopping: make(chan struct{}),

		changeBytes: semaphore.NewWeighted(options.ChangeBytes),
	}
	container := restful.NewContainer()
	container.ServiceErrorHandler(writeServiceError)
	container.RecoverHandler(server.recovered)
	service := server.webService()
	container.Add(service)
	container.Handle(v1.PathOpenAPI, serveOpenAPI(service))
	return &Handler{Handler: container, endWatches: sync.OnceFunc(func() { close(server.stopping) })}
}

// webService declares every route. The OpenAPI document is generated from it.
func (s *server) webService() *restful.WebService {
	service := new(restful.WebService).Path("/v1").Consumes(restful.MIME_JSON).Produces(restful.MIME_JSON)
	service.Filter(s.authenticate)
	service.Filter(checkParameters)
	s.addReads(service)
	s.addChanges(service)
	return service
}

func (s *server) addReads(service *restful.WebService) {
	kind := service.PathParameter("kind", "a kind of resource: Service, Route, Secret or Placement")
	name := service.PathParameter("name", "the resource's name")
	service.Route(service.GET("/resources").To(s.list).Operation("listAll").
		Doc("list the resources of every kind").
		Returns(http.StatusOK, "the resources", v1.ResourceList{}))
	service.Route(service.GET("/resources/{kind}").To(s.list).Operation("list").
		Doc("list the resources of one kind").Param(kind).
		Returns(http.StatusOK, "the resources", v1.ResourceList{}).
		Returns(http.StatusNotFound, "no such kind", v1.Problem{}))
	service.Route(service.GET("/resources/{kind}/{name}").To(s.get).Operation("get").
		Doc("read one resource").Param(kind).Param(name).
		Returns(http.StatusOK, "the resource", v1.Resource{}).
		Returns(http.StatusNotFound, "no such resource", v1.Problem{}))
	service.Route(service.GET("/status").To(s.status).Operation("status").
		Doc("say what each zone has in force").
		Returns(http.StatusOK, "the status", v1.Status{}))
	service.Route(service.GET("/versions/{version}").To(s.version).Operation("version").
		Doc("say whether a version is in force, where not, and why").
		Param(service.PathParameter("version", "a configuration version").DataType("integer")).
		Returns(http.StatusOK, "the version's status", v1.VersionStatus{}).
		Returns(http.StatusBadRequest, "not a version", v1.Problem{}))
	service.Route(service.GET("/history").To(s.history).Operation("history").
		Doc("say who changed what, and when, oldest first").
		Param(service.QueryParameter("after", "the version after which to begin").DataType("integer")).
		Param(service.QueryParameter("kind", "only resources of this kind")).
		Param(service.QueryParameter("name", "only resources of this name")).
		Param(service.QueryParameter("limit", "the most batches to return, 100 when absent, at most 1000").DataType("integer")).
		Returns(http.StatusOK, "the history", v1.History{}).
		Returns(http.StatusBadRequest, "a parameter is wrong", v1.Problem{}))
	service.Route(service.GET("/watch").To(s.watch).Operation("watch").
		Produces(mimeJSONLines, restful.MIME_JSON).
		Doc("stream changes as JSON lines").
		Param(service.QueryParameter("after", "the version after which to begin; the newest when absent").DataType("integer")).
		Param(service.QueryParameter("kind", "only resources of this kind")).
		Returns(http.StatusOK, "events, one a line", v1.Event{}).
		Returns(http.StatusGone, "the version is no longer held; list and watch anew", v1.Problem{}).
		Returns(http.StatusServiceUnavailable, "too many watches", v1.Problem{}))
}

func (s *server) addChanges(service *restful.WebService) {
	kind := service.PathParameter("kind", "a kind of resource: Service, Route, Secret or Placement")
	name := service.PathParameter("name", "the resource's name")
	precondition := service.QueryParameter("resourceVersion", "the version the resource must have").DataType("integer")
	for _, route := range []*restful.RouteBuilder{
		service.POST("/resources/{kind}").To(s.create).Operation("create").
			Doc("create a resource that does not exist").Param(kind).Reads(v1.Resource{}),
		service.PUT("/resources/{kind}/{name}").To(s.update).Operation("update").
			Doc("create or replace a resource").Param(kind).Param(name).Param(precondition).Reads(v1.Resource{}),
		service.DELETE("/resources/{kind}/{name}").To(s.remove).Operation("delete").
			Doc("delete a resource").Param(kind).Param(name).Param(precondition),
		service.POST("/batch").To(s.batch).Operation("batch").
			Doc("apply changes as one: all of them or none").Reads(v1.Batch{}),
	} {
		service.Route(withOutcomes(service, route).Filter(s.admitChange))
	}
}

// withOutcomes declares what every change takes and answers.
func withOutcomes(service *restful.WebService, route *restful.RouteBuilder) *restful.RouteBuilder {
	return route.
		Param(service.HeaderParameter(v1.OperationIDHeader, "the same id has one outcome; made when absent")).
		Param(service.QueryParameter("dryRun", "decide without writing").DataType("boolean")).
		Returns(http.StatusOK, "accepted", v1.Outcome{}).
		Returns(http.StatusConflict, "not applied: a resource's version is another one", v1.Outcome{}).
		Returns(http.StatusRequestTimeout, "not applied: the body did not arrive in time", v1.Problem{}).
		Returns(http.StatusRequestEntityTooLarge, "not applied: the body is too large", v1.Problem{}).
		Returns(http.StatusUnprocessableEntity, "not applied: fields are wrong", v1.Outcome{}).
		Returns(http.StatusServiceUnavailable, "not applied: ask again later", v1.Outcome{}).
		Returns(http.StatusGatewayTimeout, "unknown: ask again with the same operation id", v1.Outcome{})
}
