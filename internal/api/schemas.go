package api

import (
	"reflect"
	"strings"

	"github.com/getkin/kin-openapi/openapi3"
	"github.com/getkin/kin-openapi/openapi3gen"

	v1 "github.com/kestrelstream/kestrelstream/internal/api/v1"
	"github.com/kestrelstream/kestrelstream/internal/command"
	"github.com/kestrelstream/kestrelstream/internal/resource"
)

const componentPrefix = "#/components/schemas/"

// schemas generates the schemas of the API's messages from their Go types.
// Fields of resources are described by the resource reference.
type schemas struct {
	generator  *openapi3gen.Generator
	components openapi3.Schemas
}

func newSchemas() *schemas {
	generator := openapi3gen.NewGenerator(
		openapi3gen.SchemaCustomizer(customize),
		openapi3gen.CreateComponentSchemas(openapi3gen.ExportComponentSchemasOptions{
			ExportComponentSchemas: true, ExportTopLevelSchema: true,
		}),
	)
	return &schemas{generator: generator, components: openapi3.Schemas{}}
}

// of returns a reference to the schema of a message. The specs of resources
// are generated beside it, since a Resource's Go fields do not show them.
func (s *schemas) of(model any) (*openapi3.SchemaRef, error) {
	for _, described := range append(resourceParts(), model) {
		if _, err := s.generator.NewSchemaRefForValue(described, s.components); err != nil {
			return nil, err
		}
	}
	return reference(reflect.TypeOf(model).Name()), nil
}

func resourceParts() []any {
	return []any{resource.Metadata{}, resource.ServiceSpec{}, resource.RouteSpec{}, resource.SecretSpec{}, resource.PlacementSpec{}}
}

func reference(name string) *openapi3.SchemaRef {
	return openapi3.NewSchemaRef(componentPrefix+name, nil)
}

// described says where the resource reference describes the fields of a type.
type described struct {
	kind   resource.Kind
	prefix string
}

var describedTypes = map[reflect.Type]described{
	reflect.TypeFor[resource.Metadata]():         {resource.KindService, "metadata."},
	reflect.TypeFor[resource.ServiceSpec]():      {resource.KindService, "spec."},
	reflect.TypeFor[resource.Endpoint]():         {resource.KindService, "spec.endpoints[]."},
	reflect.TypeFor[resource.EndpointSelector](): {resource.KindService, "spec.selector."},
	reflect.TypeFor[resource.RetryPolicy]():      {resource.KindService, "spec.retry."},
	reflect.TypeFor[resource.ShedMarker]():       {resource.KindService, "spec.shedMarker."},
	reflect.TypeFor[resource.RouteSpec]():        {resource.KindRoute, "spec."},
	reflect.TypeFor[resource.SecretSpec]():       {resource.KindSecret, "spec."},
	reflect.TypeFor[resource.PlacementSpec]():    {resource.KindPlacement, "spec."},
	reflect.TypeFor[resource.PlacementRule]():    {resource.KindPlacement, "spec.rules[]."},
}

var enumerations = map[reflect.Type][]any{
	reflect.TypeFor[resource.Kind]():    {resource.KindSecret, resource.KindService, resource.KindPlacement, resource.KindRoute},
	reflect.TypeFor[resource.Action]():  {resource.ActionPut, resource.ActionDelete},
	reflect.TypeFor[command.Result]():   {command.Accepted, command.Rejected, command.Conflict, command.Unknown},
	reflect.TypeFor[v1.EventType]():     {v1.EventPut, v1.EventDelete, v1.EventBookmark, v1.EventResync},
	reflect.TypeFor[v1.HistoryAction](): {v1.HistoryCreated, v1.HistoryUpdated, v1.HistoryDeleted},
}

// customize adds to a generated schema what Go types do not say.
func customize(_ string, goType reflect.Type, _ reflect.StructTag, schema *openapi3.Schema) error {
	if values, isEnumeration := enumerations[goType]; isEnumeration {
		schema.Enum = values
	}
	if where, isDescribed := describedTypes[goType]; isDescribed {
		describe(schema, where)
	}
	switch goType {
	case reflect.TypeFor[resource.Duration]():
		*schema = *openapi3.NewStringSchema()
		schema.Description = `a duration such as "250ms" or "2s"`
	case reflect.TypeFor[resource.Resource]():
		*schema = *resourceSchema()
	}
	return nil
}

// describe closes the schema of a part of a resource and adds the meaning of
// its fields.
func describe(schema *openapi3.Schema, where described) {
	closed := false
	schema.AdditionalProperties = openapi3.AdditionalProperties{Has: &closed}
	for _, field := range resource.Fields(where.kind) {
		name, within := strings.CutPrefix(field.Path, where.prefix)
		property := schema.Properties[name]
		if !within || property == nil {
			continue
		}
		if field.Required {
			schema.Required = append(schema.Required, name)
		}
		if !strings.HasPrefix(property.Ref, componentPrefix) {
			schema.Properties[name] = withDescription(property.Value, field)
		}
	}
}

// withDescription copies a schema, since the generator shares those of plain
// types between fields.
func withDescription(shared *openapi3.Schema, field resource.Field) *openapi3.SchemaRef {
	own := *shared
	own.Description = field.Meaning
	if field.Limits != "" {
		own.Description += " Limits: " + field.Limits + "."
	}
	return openapi3.NewSchemaRef("", &own)
}

func resourceSchema() *openapi3.Schema {
	schema := openapi3.NewObjectSchema().
		WithProperty("apiVersion", openapi3.NewStringSchema().WithEnum(resource.APIVersion)).
		WithProperty("kind", openapi3.NewStringSchema().WithEnum(enumerations[reflect.TypeFor[resource.Kind]()]...)).
		WithRequired([]string{"apiVersion", "kind", "metadata", "spec"}).
		WithoutAdditionalProperties()
	schema.Properties["metadata"] = reference("Metadata")
	schema.Properties["spec"] = openapi3.NewSchemaRef("", &openapi3.Schema{OneOf: openapi3.SchemaRefs{
		reference("ServiceSpec"), reference("RouteSpec"), reference("SecretSpec"), reference("PlacementSpec"),
	}})
	return schema
}
