package api

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"

	restful "github.com/emicklei/go-restful/v3"
	"github.com/getkin/kin-openapi/openapi3"

	v1 "github.com/kestrelstream/kestrelstream/internal/api/v1"
)

// openAPIVersion is the version of the OpenAPI specification of the document.
const openAPIVersion = "3.0.3"

// openAPIDocument generates the OpenAPI document from the declared routes, so
// that it cannot differ from what is served. go-restful's own generator,
// go-restful-openapi, is not to be had from the module proxy; kin-openapi is
// its nearest kin.
func openAPIDocument(service *restful.WebService) (*openapi3.T, error) {
	schemas := newSchemas()
	document := &openapi3.T{
		OpenAPI: openAPIVersion,
		Info: &openapi3.Info{
			Title:       "kestrelstream resource API",
			Version:     strings.TrimPrefix(service.RootPath(), "/"),
			Description: "Declares services, routes, secrets and placements and shows where each version is in force.",
		},
		Paths: openapi3.NewPaths(),
	}
	for _, route := range service.Routes() {
		operation, err := openAPIOperation(route, schemas)
		if err != nil {
			return nil, fmt.Errorf("operation %s: %w", route.Operation, err)
		}
		document.AddOperation(route.Path, route.Method, operation)
	}
	document.Components = &openapi3.Components{Schemas: schemas.components}
	return document, nil
}

func openAPIOperation(route restful.Route, schemas *schemas) (*openapi3.Operation, error) {
	operation := openapi3.NewOperation()
	operation.OperationID = route.Operation
	operation.Summary = route.Doc
	for _, parameter := range route.ParameterDocs {
		if described := openAPIParameter(parameter.Data()); described != nil {
			operation.AddParameter(described)
		}
	}
	if route.ReadSample != nil {
		schema, err := schemas.of(route.ReadSample)
		if err != nil {
			return nil, err
		}
		body := openapi3.NewRequestBody().WithRequired(true).WithContent(content(restful.MIME_JSON, schema))
		operation.RequestBody = &openapi3.RequestBodyRef{Value: body}
	}
	operation.Responses = openapi3.NewResponsesWithCapacity(len(route.ResponseErrors))
	for _, code := range slices.Sorted(maps.Keys(route.ResponseErrors)) {
		declared := route.ResponseErrors[code]
		schema, err := schemas.of(declared.Model)
		if err != nil {
			return nil, err
		}
		response := openapi3.NewResponse().WithDescription(declared.Message).WithContent(content(contentType(declared.Model), schema))
		operation.Responses.Set(strconv.Itoa(code), &openapi3.ResponseRef{Value: response})
	}
	return operation, nil
}

// openAPIParameter returns nil for the body, which is described by itself.
func openAPIParameter(data restful.ParameterData) *openapi3.Parameter {
	var parameter *openapi3.Parameter
	switch data.Kind {
	case restful.PathParameterKind:
		parameter = openapi3.NewPathParameter(data.Name)
	case restful.QueryParameterKind:
		parameter = openapi3.NewQueryParameter(data.Name)
	case restful.HeaderParameterKind:
		parameter = openapi3.NewHeaderParameter(data.Name)
	default:
		return nil
	}
	schema := openapi3.NewSchema()
	schema.Type = &openapi3.Types{data.DataType}
	return parameter.WithDescription(data.Description).WithSchema(schema)
}

func content(mediaType string, schema *openapi3.SchemaRef) openapi3.Content {
	return openapi3.Content{mediaType: openapi3.NewMediaType().WithSchemaRef(schema)}
}

func contentType(model any) string {
	if _, isEvent := model.(v1.Event); isEvent {
		return mimeJSONLines
	}
	return restful.MIME_JSON
}

// serveOpenAPI returns a handler of the document, encoded once.
func serveOpenAPI(service *restful.WebService) http.Handler {
	document, err := openAPIDocument(service)
	if err != nil {
		panic("api: the routes' models always have a schema: " + err.Error())
	}
	encoded, err := json.Marshal(document)
	if err != nil {
		panic("api: the document always encodes: " + err.Error())
	}
	return http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("Content-Type", restful.MIME_JSON)
		// A failed write means that the client has left.
		_, _ = writer.Write(encoded)
	})
}
