// Package keyvalue is the stand-in of the platform's key-value service: a store
// held in memory, with faults that can be switched on, in process and over HTTP
// with JSON.
package keyvalue

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/emicklei/go-restful/v3"

	"github.com/kestrelstream/kestrelstream/internal/store"
	"github.com/kestrelstream/kestrelstream/internal/store/wire"
)

// Limits of the service.
const (
	// MaximumRequestBytes bounds the body of one request.
	MaximumRequestBytes = 4 << 20
	// WatchHeartbeat is how often an idle watch shows that it is alive.
	WatchHeartbeat = 5 * time.Second

	readHeaderTimeout = 5 * time.Second
)

// Serve runs a new, empty service on the listener until the listener is closed.
func Serve(listener net.Listener) error {
	return ServeHandler(listener, NewHandler(NewService(Options{})))
}

// ServeHandler runs a service's handler until the listener is closed.
func ServeHandler(listener net.Listener, handler http.Handler) error {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	err := server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

type handler struct {
	service *Service
}

// NewHandler serves a service in the form of package wire, and the control of
// its faults.
func NewHandler(service *Service) http.Handler {
	served := &handler{service: service}
	container := restful.NewContainer()
	container.Add(served.storeRoutes())
	container.Add(served.controlRoutes())
	return container
}

func (h *handler) storeRoutes() *restful.WebService {
	routes := new(restful.WebService)
	routes.Consumes(restful.MIME_JSON).Produces(restful.MIME_JSON)
	routes.Route(routes.POST(wire.PathGet).To(h.get))
	routes.Route(routes.POST(wire.PathRange).To(h.scan))
	routes.Route(routes.POST(wire.PathSwap).To(h.swap))
	routes.Route(routes.POST(wire.PathWatch).To(h.watch))
	routes.Route(routes.POST(wire.PathGrant).To(h.grant))
	routes.Route(routes.POST(wire.PathKeepAlive).To(h.keepAlive))
	routes.Route(routes.POST(wire.PathRevoke).To(h.revoke))
	return routes
}

// decode reads a request's body or answers why it can't be read.
func decode(request *restful.Request, response *restful.Response, body any) bool {
	limited := http.MaxBytesReader(response.ResponseWriter, request.Request.Body, MaximumRequestBytes)
	decoder := json.NewDecoder(limited)
	decoder.DisallowUnknownFields()
	err := decoder.Decode(body)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		err = fmt.Errorf("%w: body of more than %d bytes", store.ErrTooLarge, tooLarge.Limit)
	}
	if err != nil {
		refuse(response, err)
	}
	return err == nil
}

// answer writes a success or the error in its place.
func answer(response *restful.Response, body any, err error) {
	if err != nil {
		refuse(response, err)
		return
	}
	write(response, http.StatusOK, body)
}

// refuse answers an error; a lost answer ends the connection instead.
func refuse(response *restful.Response, err error) {
	if answerLost(err) {
		panic(http.ErrAbortHandler)
	}
	status, body := wire.EncodeError(err)
	write(response, status, body)
}

func write(response *restful.Response, status int, body any) {
	// A failed write means that the client has gone; nobody is left to tell.
	_ = response.WriteHeaderAndJson(status, body, restful.MIME_JSON)
}

func (h *handler) get(request *restful.Request, response *restful.Response) {
	var body wire.GetRequest
	if !decode(request, response, &body) {
		return
	}
	found, err := h.service.Get(request.Request.Context(), body.Key)
	answer(response, found, err)
}

func (h *handler) scan(request *restful.Request, response *restful.Response) {
	var body wire.RangeRequest
	if !decode(request, response, &body) {
		return
	}
	found, revision, err := h.service.Range(request.Request.Context(), body.Prefix, body.From, body.Limit)
	answer(response, wire.RangeResponse{KeyValues: found, Revision: revision}, err)
}

func (h *handler) swap(request *restful.Request, response *restful.Response) {
	var body store.Swap
	if !decode(request, response, &body) {
		return
	}
	revision, err := h.service.CompareAndSwap(request.Request.Context(), body)
	answer(response, wire.SwapResponse{Revision: revision}, err)
}

func (h *handler) grant(request *restful.Request, response *restful.Response) {
	var body wire.GrantRequest
	if !decode(request, response, &body) {
		return
	}
	lease, err := h.service.Grant(request.Request.Context(), body.TimeToLive)
	answer(response, lease, err)
}

func (h *handler) keepAlive(request *restful.Request, response *restful.Response) {
	var body wire.LeaseRequest
	if !decode(request, response, &body) {
		return
	}
	answer(response, wire.Empty{}, h.service.KeepAlive(request.Request.Context(), body.LeaseID))
}

func (h *handler) revoke(request *restful.Request, response *restful.Response) {
	var body wire.LeaseRequest
	if !decode(request, response, &body) {
		return
	}
	answer(response, wire.Empty{}, h.service.Revoke(request.Request.Context(), body.LeaseID))
}

// watch streams one JSON line per event until the watch or its client ends.
func (h *handler) watch(request *restful.Request, response *restful.Response) {
	var body wire.WatchRequest
	if !decode(request, response, &body) {
		return
	}
	running, err := h.service.Watch(request.Request.Context(), body.Prefix, body.AfterRevision)
	if err != nil {
		refuse(response, err)
		return
	}
	defer running.Close()
	response.AddHeader(restful.HEADER_ContentType, restful.MIME_JSON)
	response.WriteHeader(http.StatusOK)
	stream(response, running)
}

// stream writes the lines of a watch, each flushed at once.
func stream(response *restful.Response, running store.Watch) {
	heartbeat := time.NewTicker(WatchHeartbeat)
	defer heartbeat.Stop()
	lines := json.NewEncoder(response)
	for {
		response.Flush()
		select {
		case event, open := <-running.Events():
			if !open {
				end(lines, running.Err())
				return
			}
			if lines.Encode(wire.WatchLine{Event: &event}) != nil {
				return
			}
		case <-heartbeat.C:
			if lines.Encode(wire.WatchLine{}) != nil {
				return
			}
		}
	}
}

// end writes the last line of a watch, or breaks the connection off when the
// watch was cut.
func end(lines *json.Encoder, reason error) {
	if answerLost(reason) {
		panic(http.ErrAbortHandler)
	}
	_, line := wire.EncodeError(reason)
	_ = lines.Encode(wire.WatchLine{End: &line}) // the reader may have gone
}
