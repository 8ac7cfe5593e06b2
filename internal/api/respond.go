package api

import (
	"encoding/json"
	"net/http"
	"net/url"
	"runtime/debug"
	"strconv"

	restful "github.com/emicklei/go-restful/v3"
	"go.uber.org/zap"

	v1 "github.com/kestrelstream/kestrelstream/internal/api/v1"
)

func writeJSON(response *restful.Response, status int, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic("api: a reply always encodes: " + err.Error())
	}
	response.AddHeader("Content-Type", restful.MIME_JSON)
	response.WriteHeader(status)
	// A failed write means that the client has left.
	_, _ = response.Write(append(encoded, '\n'))
}

func writeProblem(response *restful.Response, problem v1.Problem) {
	writeJSON(response, problem.Status, problem)
}

// writeServiceError answers requests that match no route.
func writeServiceError(err restful.ServiceError, _ *restful.Request, response *restful.Response) {
	for name, values := range err.Header {
		for _, value := range values {
			response.AddHeader(name, value)
		}
	}
	writeProblem(response, v1.Problem{Status: err.Code, Step: "route", Reason: err.Message})
}

// recovered answers a request whose handler panicked. Whether a change took
// effect is not known.
func (s *server) recovered(reason any, writer http.ResponseWriter) {
	s.options.Logger.Error("handler panicked", zap.Any("reason", reason), zap.ByteString("stack", debug.Stack()))
	response := restful.NewResponse(writer)
	writeProblem(response, v1.Problem{Status: http.StatusInternalServerError, Step: "handle",
		Reason: "internal fault; the outcome is unknown, ask again with the same operation id"})
}

// actorAttribute is the request attribute that holds the operator's name.
const actorAttribute = "actor"

func (s *server) authenticate(request *restful.Request, response *restful.Response, chain *restful.FilterChain) {
	actor, err := s.options.Authenticate(request.Request)
	if err != nil {
		writeProblem(response, v1.Problem{Status: http.StatusUnauthorized, Step: "authenticate", Reason: err.Error()})
		return
	}
	request.SetAttribute(actorAttribute, actor)
	chain.ProcessFilter(request, response)
}

func actorOf(request *restful.Request) string {
	actor, _ := request.Attribute(actorAttribute).(string)
	return actor
}

// checkParameters refuses query parameters that the route does not know or that
// stand twice: a misspelt dryRun must not become a change.
func checkParameters(request *restful.Request, response *restful.Response, chain *restful.FilterChain) {
	known := map[string]bool{}
	for _, parameter := range request.SelectedRoute().ParameterDocs() {
		data := parameter.Data()
		known[data.Name] = data.Kind == restful.QueryParameterKind
	}
	given, err := url.ParseQuery(request.Request.URL.RawQuery)
	if err != nil {
		writeParameterProblem(response, "the query", "cannot be parsed")
		return
	}
	for name, values := range given {
		switch {
		case !known[name]:
			writeParameterProblem(response, strconv.Quote(name), "is not a known parameter")
			return
		case len(values) > 1:
			writeParameterProblem(response, name, "must stand only once")
			return
		}
	}
	chain.ProcessFilter(request, response)
}

// readNumber reads a path or query parameter as a version. Given is false when
// it is absent; ok is false when an error was written.
func readNumber(request *restful.Request, response *restful.Response, name string) (number uint64, given, ok bool) {
	text := request.PathParameter(name)
	if text == "" {
		text = request.QueryParameter(name)
	}
	if text == "" {
		return 0, false, true
	}
	number, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		writeParameterProblem(response, name, "must be a whole number, zero or more")
		return 0, true, false
	}
	return number, true, true
}

func readFlag(request *restful.Request, response *restful.Response, name string) (flag, ok bool) {
	text := request.QueryParameter(name)
	if text == "" {
		return false, true
	}
	flag, err := strconv.ParseBool(text)
	if err != nil {
		writeParameterProblem(response, name, "must be true or false")
	}
	return flag, err == nil
}

func writeParameterProblem(response *restful.Response, name, reason string) {
	writeProblem(response, v1.Problem{Status: http.StatusBadRequest, Step: "read-parameters", Reason: name + " " + reason})
}
