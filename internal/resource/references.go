package resource

import (
	"maps"
	"slices"
	"strings"
)

// maximumReferrers bounds how many referrers an error names.
const maximumReferrers = 5

// names is a set of resource names.
type names map[string]struct{}

// matchKey is what routes must differ in unless their methods are disjoint.
type matchKey struct {
	host       string
	pathPrefix string
}

// matchKeyOf returns a route's key. A prefix covers whole segments, so a
// trailing slash makes no difference.
func matchKeyOf(route *RouteSpec) matchKey {
	return matchKey{host: route.Host, pathPrefix: strings.TrimRight(route.PathPrefix, "/")}
}

// referenceIndex answers which resources refer to another, so that a check
// costs what the batch touches and not what the state holds.
type referenceIndex struct {
	// referrers maps a service or secret to the routes and placements that
	// name it.
	referrers map[Key]map[Key]struct{}
	// matches maps host and path prefix to the routes that bear them.
	matches map[matchKey]names
}

func newReferenceIndex(state *State) referenceIndex {
	index := referenceIndex{referrers: map[Key]map[Key]struct{}{}, matches: map[matchKey]names{}}
	for _, held := range state.resources {
		index.add(held)
	}
	return index
}

// references lists what a resource names.
func references(r *Resource) []Key {
	switch {
	case r.Route != nil && r.Route.Secret != "":
		return []Key{{Kind: KindService, Name: r.Route.Service}, {Kind: KindSecret, Name: r.Route.Secret}}
	case r.Route != nil:
		return []Key{{Kind: KindService, Name: r.Route.Service}}
	case r.Placement != nil:
		return []Key{{Kind: KindService, Name: r.Placement.Service}}
	default:
		return nil
	}
}

// replace removes what stood under a key and adds what stands there now;
// either may be nil.
func (i referenceIndex) replace(previous, current *Resource) {
	if previous != nil {
		i.remove(previous)
	}
	if current != nil {
		i.add(current)
	}
}

func (i referenceIndex) add(r *Resource) {
	for _, key := range references(r) {
		if i.referrers[key] == nil {
			i.referrers[key] = map[Key]struct{}{}
		}
		i.referrers[key][r.Key()] = struct{}{}
	}
	if r.Route == nil {
		return
	}
	match := matchKeyOf(r.Route)
	if i.matches[match] == nil {
		i.matches[match] = names{}
	}
	i.matches[match][r.Metadata.Name] = struct{}{}
}

func (i referenceIndex) remove(r *Resource) {
	for _, key := range references(r) {
		delete(i.referrers[key], r.Key())
	}
	if r.Route != nil {
		delete(i.matches[matchKeyOf(r.Route)], r.Metadata.Name)
	}
}

// checkReferences checks the invariant of Admission for what the batch
// touched.
func (a *Admission) checkReferences(batch Batch) []FieldError {
	var fields []FieldError
	for index, change := range batch.Changes {
		found := &problems{index: index, key: change.Target()}
		switch {
		case change.Action == ActionDelete:
			a.checkUnreferenced(found, change.Key)
		case change.Resource.Route != nil:
			a.checkRouteReferences(found, change.Resource.Route)
			a.checkUnambiguous(found, change.Resource)
		case change.Resource.Placement != nil:
			a.checkHeld(found, "spec.service", Key{Kind: KindService, Name: change.Resource.Placement.Service})
		}
		fields = append(fields, found.fields...)
	}
	return fields
}

func (a *Admission) checkRouteReferences(found *problems, route *RouteSpec) {
	a.checkHeld(found, "spec.service", Key{Kind: KindService, Name: route.Service})
	if route.Secret != "" {
		a.checkHeld(found, "spec.secret", Key{Kind: KindSecret, Name: route.Secret})
	}
}

func (a *Admission) checkHeld(found *problems, path string, key Key) {
	if a.working.resources[key] == nil {
		found.addf(path, "%s does not exist", key)
	}
}

func (a *Admission) checkUnreferenced(found *problems, key Key) {
	referrers := a.index.referrers[key]
	if len(referrers) == 0 {
		return
	}
	texts := make([]string, 0, len(referrers))
	for referrer := range referrers {
		texts = append(texts, referrer.String())
	}
	slices.Sort(texts)
	if len(texts) > maximumReferrers {
		texts = append(texts[:maximumReferrers], "others")
	}
	found.addf("metadata.name", "cannot be deleted: it is named by %s", strings.Join(texts, ", "))
}

// checkUnambiguous refuses a second route for the same host, path prefix and
// method: which of them answered would depend on the proxy.
func (a *Admission) checkUnambiguous(found *problems, r *Resource) {
	match := matchKeyOf(r.Route)
	for _, name := range slices.Sorted(maps.Keys(a.index.matches[match])) {
		if name == r.Metadata.Name {
			continue
		}
		other := a.working.resources[Key{Kind: KindRoute, Name: name}]
		if methodsOverlap(r.Route.Methods, other.Route.Methods) {
			found.addf("spec.pathPrefix", "Route/%s already answers this host, path prefix and method", name)
			return
		}
	}
}

// methodsOverlap reports whether a method is in both lists; an empty list
// holds every method.
func methodsOverlap(left, right []string) bool {
	if len(left) == 0 || len(right) == 0 {
		return true
	}
	return slices.ContainsFunc(left, func(method string) bool { return slices.Contains(right, method) })
}
