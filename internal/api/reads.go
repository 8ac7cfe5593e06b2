package api

import (
	"net/http"
	"strings"

	restful "github.com/emicklei/go-restful/v3"

	v1 "github.com/kestrelstream/kestrelstream/internal/api/v1"
	"github.com/kestrelstream/kestrelstream/internal/query"
	"github.com/kestrelstream/kestrelstream/internal/resource"
)

func (s *server) list(request *restful.Request, response *restful.Response) {
	if request.PathParameter("kind") == "" {
		writeJSON(response, http.StatusOK, s.queries.List(""))
		return
	}
	if kind, ok := readKind(request, response); ok {
		writeJSON(response, http.StatusOK, s.queries.List(kind))
	}
}

func (s *server) get(request *restful.Request, response *restful.Response) {
	kind, ok := readKind(request, response)
	if !ok {
		return
	}
	key := resource.Key{Kind: kind, Name: request.PathParameter("name")}
	held := s.queries.Get(key)
	if held == nil {
		writeProblem(response, v1.Problem{Status: http.StatusNotFound, Step: "get", Reason: key.String() + " does not exist"})
		return
	}
	writeJSON(response, http.StatusOK, held)
}

func (s *server) status(_ *restful.Request, response *restful.Response) {
	writeJSON(response, http.StatusOK, s.queries.Status())
}

func (s *server) version(request *restful.Request, response *restful.Response) {
	version, _, ok := readNumber(request, response, "version")
	if ok {
		writeJSON(response, http.StatusOK, s.queries.Version(version))
	}
}

// Limits of one reply of the history, in batches.
const (
	defaultHistoryLimit = 100
	maximumHistoryLimit = 1000
)

func (s *server) history(request *restful.Request, response *restful.Response) {
	filter := query.HistoryFilter{Limit: defaultHistoryLimit, Name: request.QueryParameter("name")}
	after, _, ok := readNumber(request, response, "after")
	if !ok {
		return
	}
	filter.After = after
	limit, given, ok := readNumber(request, response, "limit")
	if !ok {
		return
	}
	if given {
		filter.Limit = int(min(max(limit, 1), maximumHistoryLimit))
	}
	if text := request.QueryParameter("kind"); text != "" {
		if filter.Kind, ok = parseKind(response, text); !ok {
			return
		}
	}
	writeJSON(response, http.StatusOK, s.queries.History(filter))
}

// readKind reads the path's kind, in any case and in the singular or plural.
func readKind(request *restful.Request, response *restful.Response) (resource.Kind, bool) {
	return parseKind(response, request.PathParameter("kind"))
}

func parseKind(response *restful.Response, text string) (resource.Kind, bool) {
	for _, kind := range resource.Kinds {
		if strings.EqualFold(text, string(kind)) || strings.EqualFold(text, string(kind)+"s") {
			return kind, true
		}
	}
	writeProblem(response, v1.Problem{Status: http.StatusNotFound, Step: "read-kind",
		Reason: "the kind must be one of Secret, Service, Placement, Route"})
	return "", false
}
