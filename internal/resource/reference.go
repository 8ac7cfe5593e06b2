package resource

import (
	"fmt"
	"slices"
)

// Field describes one field of a kind for operators.
type Field struct {
	// Path is the field as it stands in a resource; [] marks list items and
	// * the names of a mapping.
	Path string `json:"path"`
	// Type is the form of the value.
	Type     string `json:"type"`
	Required bool   `json:"required"`
	// Meaning says what the field does.
	Meaning string `json:"meaning"`
	// Limits says which values are accepted.
	Limits string `json:"limits,omitempty"`
}

// Types of fields.
const (
	typeString   = "string"
	typeInteger  = "integer"
	typeDuration = "duration"
	typeList     = "list"
	typeMapping  = "mapping"
)

const nameLimits = "1 to 63 of a-z, 0-9, '-' and '.', beginning and ending with a letter or digit"

var meanings = map[Kind]string{
	KindService:   "A service and the limits of each of its endpoints.",
	KindRoute:     "Which requests go to which service, who may send them, and the credential attached.",
	KindSecret:    "A credential attached to requests toward a back end. Its value is write-only.",
	KindPlacement: "Which back-end zones may serve callers of which zones. Without any for a service, callers use back ends of their own zone only; several for one service add up.",
}

// Meaning says what a kind is for, or returns "" for an unknown kind.
func Meaning(kind Kind) string { return meanings[kind] }

// Fields describes every field of a kind in the order of the reference, or
// returns nil for an unknown kind.
func Fields(kind Kind) []Field {
	spec := specFields[kind]
	if spec == nil {
		return nil
	}
	return slices.Concat(commonFields, spec)
}

var commonFields = []Field{
	{"apiVersion", typeString, true, "The version of the resource format.", APIVersion},
	{"kind", typeString, true, "The kind of resource.", "Service, Route, Secret or Placement"},
	{"metadata", typeMapping, true, "Identifies the resource.", ""},
	{"metadata.name", typeString, true, "The name, unique within the kind.", nameLimits},
	{"metadata.labels", typeMapping, false, "Free labels for operators.", fmt.Sprintf("at most %d", MaximumLabels)},
	{"metadata.labels.*", typeString, false, "The value of one label.", fmt.Sprintf("names 1 to %[1]d bytes, values at most %[1]d bytes", MaximumLabelLength)},
	{"metadata.resourceVersion", typeInteger, false, "Set by the system: the version that last changed the resource. In a change it is a precondition.", ""},
	{"metadata.createdVersion", typeInteger, false, "Set by the system: the version that created the resource. Ignored in a change.", ""},
	{"spec", typeMapping, true, "What is declared.", ""},
}

var specFields = map[Kind][]Field{
	KindService: {
		{"spec.endpoints", typeList, false, "The endpoints by address. Either this or selector is set.", fmt.Sprintf("1 to %d, names and addresses unique", MaximumEndpoints)},
		{"spec.endpoints[].name", typeString, true, "The endpoint's name within the service.", nameLimits},
		{"spec.endpoints[].address", typeString, true, "The inbound listener of the proxy beside the back end.", "IP address and port"},
		{"spec.endpoints[].zone", typeString, true, "The zone the endpoint runs in.", nameLimits},
		{"spec.selector", typeMapping, false, "Admits endpoints that the proxies beside them announce.", ""},
		{"spec.selector.labels", typeMapping, true, "Labels that an announced endpoint must all bear.", fmt.Sprintf("1 to %d", MaximumLabels)},
		{"spec.selector.labels.*", typeString, false, "The value of one label.", fmt.Sprintf("at most %d bytes", MaximumLabelLength)},
		{"spec.slots", typeInteger, true, "Requests that one endpoint runs at once.", fmt.Sprintf("1 to %d", MaximumSlots)},
		{"spec.connections", typeInteger, true, "Connections that one endpoint accepts.", fmt.Sprintf("1 to %d", MaximumConnections)},
		{"spec.queue", typeInteger, false, "Requests that may wait for a slot at one endpoint.", fmt.Sprintf("0 to %d", MaximumQueue)},
		{"spec.deadline", typeDuration, true, "Bounds a request from its arrival at the caller's proxy.", fmt.Sprintf("more than 0s, at most %s", MaximumDeadline)},
		{"spec.retry", typeMapping, false, "Bounds repeated attempts.", ""},
		{"spec.retry.attempts", typeInteger, false, "The most attempts of one request, the first included.", fmt.Sprintf("0 to %d; 0 means 3", MaximumAttempts)},
		{"spec.retry.budgetPercent", typeInteger, false, "The most repeated attempts per hundred first ones.", fmt.Sprintf("0 to %d; 0 means 20", MaximumBudgetPercent)},
		{"spec.shedMarker", typeMapping, false, "The reply by which the back end says that it did not run the request. Without it no reply of the back end means that.", ""},
		{"spec.shedMarker.status", typeInteger, true, "The reply's status.", "400 to 599"},
		{"spec.shedMarker.header", typeString, false, "A header that the reply bears.", "a header name"},
		{"spec.shedMarker.value", typeString, false, "The header's value; any value when absent.", "needs header"},
	},
	KindRoute: {
		{"spec.host", typeString, true, "The host of the requests; \"*\" admits every host that no other route names.", "a host name in lower case without a port, or \"*\""},
		{"spec.pathPrefix", typeString, true, "The beginning of the path of the requests, by whole segments; the longest prefix wins.", fmt.Sprintf("begins with '/', at most %d bytes, no empty, '.' or '..' segments", MaximumPathLength)},
		{"spec.methods", typeList, false, "The methods of the requests; all when absent. Two routes of the same host and path prefix must have no method in common.", "GET, HEAD, POST, PUT, PATCH, DELETE, OPTIONS"},
		{"spec.service", typeString, true, "The service that answers.", "an existing Service"},
		{"spec.secret", typeString, false, "The credential attached toward the back end.", "an existing Secret"},
		{"spec.repeatableMethods", typeList, false, "Methods that may be attempted again after an unknown outcome. Without it GET, HEAD and OPTIONS may; POST and PATCH only when listed.", "among methods"},
		{"spec.consumers", typeList, true, "The identities that may use the route; \"*\" admits all.", fmt.Sprintf("1 to %d", MaximumConsumers)},
		{"spec.maximumInFlight", typeInteger, false, "The most requests of the route in flight at one proxy.", "0 or more; 0 means no bound of its own"},
	},
	KindSecret: {
		{"spec.header", typeString, true, "The request header that carries the credential.", "a header name; none of the connection, of message framing or of the mesh"},
		{"spec.value", typeString, true, "The credential. Reads show " + MaskedValue + " in its place.", fmt.Sprintf("1 to %d bytes that a header value may hold", MaximumSecretLength)},
	},
	KindPlacement: {
		{"spec.service", typeString, true, "The service the rules are for.", "an existing Service"},
		{"spec.rules", typeList, true, "What is allowed; a caller zone that no rule names may use no endpoint.", fmt.Sprintf("1 to %d", MaximumRules)},
		{"spec.rules[].callerZones", typeList, true, "Zones of callers.", fmt.Sprintf("1 to %d zone names", MaximumZones)},
		{"spec.rules[].backendZones", typeList, true, "Zones of the endpoints those callers may use.", fmt.Sprintf("1 to %d zone names", MaximumZones)},
	},
}
