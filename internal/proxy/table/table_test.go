package table_test

import (
	"fmt"
	"net/url"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/kestrelstream/kestrelstream/internal/proxy/table"
	"github.com/kestrelstream/kestrelstream/internal/resource"
)

func bindName(name string, _ *resource.RouteSpec) string { return name }

var _ = DescribeTable("Match",
	func(method, host, path, want string) {
		compiled := table.Compile(map[string]*resource.RouteSpec{
			"root":      {Host: "h.example", PathPrefix: "/"},
			"api":       {Host: "h.example", PathPrefix: "/api"},
			"api-v2":    {Host: "h.example", PathPrefix: "/api/v2/"},
			"api-write": {Host: "h.example", PathPrefix: "/api", Methods: []string{"POST", "PUT"}},
			"api-dash":  {Host: "h.example", PathPrefix: "/api-docs", Methods: []string{"GET"}},
			"api-twin":  {Host: "h.example", PathPrefix: "/api"},
			"any":       {Host: "*", PathPrefix: "/health"},
			"v6":        {Host: "[::1]", PathPrefix: "/"},
		}, bindName)
		got, found := compiled.Match(method, host, path)
		Expect(got).To(Equal(want))
		Expect(found).To(Equal(want != ""))
	},
	Entry("root", "GET", "h.example", "/x", "root"),
	Entry("path equal to the prefix", "GET", "h.example", "/api", "api"),
	Entry("prefix with a trailing slash", "GET", "h.example", "/api/", "api"),
	Entry("whole segments only", "GET", "h.example", "/apix", "root"),
	Entry("sibling prefix that sorts between a prefix and its children", "GET", "h.example", "/api-docs/x", "api-dash"),
	Entry("listed method first", "POST", "h.example", "/api/x", "api-write"),
	Entry("method not listed falls back", "POST", "h.example", "/api-docs", "root"),
	Entry("longest prefix", "GET", "h.example", "/api/v2/x", "api-v2"),
	Entry("longest prefix before listed method", "POST", "h.example", "/api/v2", "api-v2"),
	Entry("port and case of the host", "GET", "H.Example:8080", "/api", "api"),
	Entry("trailing dot of the host", "GET", "h.example.", "/api", "api"),
	Entry("any host", "GET", "other.example", "/health", "any"),
	Entry("exact host before any host", "GET", "h.example", "/health", "root"),
	Entry("IPv6 address as host", "GET", "[::1]:80", "/x", "v6"),
	Entry("unknown host", "GET", "other.example", "/x", ""),
	Entry("no host", "GET", "", "/health", "any"),
)

var _ = DescribeTable("CheckPath",
	func(raw, want string, wantErr error) {
		parsed, err := url.ParseRequestURI(raw)
		Expect(err).NotTo(HaveOccurred())
		path, err := table.CheckPath(parsed)
		if wantErr != nil {
			Expect(err).To(MatchError(wantErr))
			return
		}
		Expect(err).NotTo(HaveOccurred())
		Expect(path).To(Equal(want))
	},
	Entry("plain", "/a/b", "/a/b", nil),
	Entry("trailing slash", "/a/", "/a/", nil),
	Entry("encoded letter", "/%61", "/a", nil),
	Entry("encoded slash stays", "/a%2Fb/c", "/a%2Fb/c", nil),
	Entry("encoded slash beside an encoded letter", "/%61%2Fb/%62", "/%61%2Fb/b", nil),
	Entry("dots within a segment", "/..a/b..", "/..a/b..", nil),
	Entry("dot", "/a/./b", "", table.ErrDotSegment),
	Entry("two dots at the end", "/a/..", "", table.ErrDotSegment),
	Entry("encoded dots", "/a/%2e%2E/b", "", table.ErrDotSegment),
	Entry("dots after an encoded slash", "/a%2f../b", "", table.ErrDotSegment),
	Entry("empty segment", "/a//b", "", table.ErrEmptySegment),
	Entry("empty segment by an encoded slash", "/a%2f/b", "", table.ErrEmptySegment),
	Entry("backslash", "/a%5cb", "", table.ErrForbiddenCharacter),
	Entry("line feed", "/a%0ab", "", table.ErrForbiddenCharacter),
	Entry("asterisk", "*", "", table.ErrRelativePath),
)

// naiveMatch returns the name of the matching route by comparing all routes.
func naiveMatch(routes map[string]*resource.RouteSpec, method, host, path string) string {
	best, bestRank := "", -1
	for index := range len(routes) {
		name := routeName(index)
		spec := routes[name]
		prefix := strings.TrimRight(spec.PathPrefix, "/")
		if path != prefix && !strings.HasPrefix(path, prefix+"/") || spec.Host != host && spec.Host != "*" {
			continue
		}
		if len(spec.Methods) > 0 && spec.Methods[0] != method {
			continue
		}
		rank := 2*len(prefix) + min(len(spec.Methods), 1)
		if spec.Host == host {
			rank += 1000
		}
		if rank > bestRank {
			best, bestRank = name, rank
		}
	}
	return best
}

func routeName(index int) string { return fmt.Sprintf("r%03d", index) }

var pathGenerator = rapid.Custom(func(t *rapid.T) string {
	segments := rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b", "a-", "a.b", "ab", "!"}), 0, 4).Draw(t, "segments")
	return "/" + strings.Join(segments, "/")
})

func TestMatchAgreesWithNaiveSearch(t *testing.T) {
	hosts := rapid.SampledFrom([]string{"x", "y", "*"})
	methods := rapid.SampledFrom([]string{"GET", "POST"})
	rapid.Check(t, func(t *rapid.T) {
		routes := map[string]*resource.RouteSpec{}
		for index := range rapid.IntRange(0, 30).Draw(t, "routes") {
			spec := &resource.RouteSpec{Host: hosts.Draw(t, "host"), PathPrefix: pathGenerator.Draw(t, "prefix")}
			if rapid.Bool().Draw(t, "any") {
				spec.Methods = []string{methods.Draw(t, "method")}
			}
			routes[routeName(index)] = spec
		}
		compiled := table.Compile(routes, bindName)
		for range 10 {
			method, host, path := methods.Draw(t, "method"), hosts.Draw(t, "host"), pathGenerator.Draw(t, "path")
			got, _ := compiled.Match(method, host, path)
			if want := naiveMatch(routes, method, host, path); got != want {
				t.Fatalf("%s %s%s: got %q, want %q", method, host, path, got, want)
			}
		}
	})
}

// FuzzMatch guards against bypassing a route: it searches for paths that the table interprets
// differently from a back end that decodes escapes, merges slashes or resolves dot segments.
func FuzzMatch(f *testing.F) {
	for _, seed := range []string{"/public/x", "/public/..%2fadmin", "/public/%2e%2e/admin", "//admin", "/%61dmin", "/public\\..\\admin"} {
		f.Add(seed)
	}
	compiled := table.Compile(map[string]*resource.RouteSpec{
		"admin":  {Host: "h", PathPrefix: "/admin"},
		"public": {Host: "h", PathPrefix: "/"},
	}, bindName)
	f.Fuzz(func(t *testing.T, raw string) {
		parsed, err := url.ParseRequestURI(raw)
		if err != nil || parsed.Host != "" || parsed.Scheme != "" {
			return
		}
		path, err := table.CheckPath(parsed)
		if err != nil {
			return
		}
		got, found := compiled.Match("GET", "h", path)
		if !found {
			t.Fatalf("%q matched no route", raw)
		}
		cleaned := parsed.JoinPath().Path
		isAdmin := cleaned == "/admin" || strings.HasPrefix(cleaned, "/admin/")
		if isAdmin && got != "admin" && !strings.Contains(strings.ToLower(raw), "%2f") {
			t.Fatalf("a back end resolves %q to %q, but it matched route %q", raw, cleaned, got)
		}
	})
}

func benchmarkRoutes() map[string]*resource.RouteSpec {
	routes := map[string]*resource.RouteSpec{}
	for index := range 1000 {
		routes[routeName(index)] = &resource.RouteSpec{
			Host:       fmt.Sprintf("service-%d.example", index%39),
			PathPrefix: fmt.Sprintf("/api/v%d/resource-%d", index%3, index),
		}
	}
	return routes
}

func BenchmarkMatch1000Routes(b *testing.B) {
	routes := benchmarkRoutes()
	compiled := table.Compile(routes, bindName)
	hosts, paths := make([]string, 1024), make([]string, 1024)
	for index := range paths {
		spec := routes[routeName(index%1000)]
		hosts[index], paths[index] = spec.Host+":8080", spec.PathPrefix+"/sessions/1234"
	}
	b.ReportAllocs()
	index := 0
	for b.Loop() {
		index = (index + 1) & 1023
		if _, found := compiled.Match("POST", hosts[index], paths[index]); !found {
			b.Fatal("no route")
		}
	}
}

func BenchmarkMatch1000RoutesOfOneHost(b *testing.B) {
	routes := benchmarkRoutes()
	for _, spec := range routes {
		spec.Host = "one.example"
	}
	compiled := table.Compile(routes, bindName)
	paths := make([]string, 1024)
	for index := range paths {
		paths[index] = routes[routeName(index%1000)].PathPrefix + "/sessions/1234"
	}
	b.ReportAllocs()
	index := 0
	for b.Loop() {
		index = (index + 1) & 1023
		if _, found := compiled.Match("POST", "one.example", paths[index]); !found {
			b.Fatal("no route")
		}
	}
}
