package route_test

import (
	"errors"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/route"
)

func valid() *route.Document {
	return &route.Document{
		Version: 7,
		Routes: []route.Route{
			{Name: "short", Host: "a.example", PathPrefix: "/x/", Targets: []route.Target{{Service: "one", Weight: 1}}, Attempts: 2},
			{Name: "long", Host: "a.example", PathPrefix: "/x/y/", Targets: []route.Target{{Service: "one", Weight: 90}, {Service: "two", Weight: 10}}, Attempts: 1},
			{Name: "root", Host: "b.example", PathPrefix: "/", Targets: []route.Target{{Service: "two", Weight: 1}}, Attempts: 1},
		},
		Services: []route.Service{{Name: "one"}, {Name: "two"}},
	}
}

func TestMatch(t *testing.T) {
	g := NewWithT(t)
	table, err := route.Compile(valid(), nil)
	g.Expect(err).NotTo(HaveOccurred())
	cases := []struct{ host, path, want string }{
		{"a.example", "/x/", "short"},
		{"a.example", "/x/1", "short"},
		{"a.example", "/x/y/1/2", "long"},
		{"a.example", "/x/y", "short"},
		{"A.Example:8080", "/x/y/", "long"},
		{"a.example.", "/x/", "short"},
		{"a.example", "/x", ""},
		{"a.example", "/xy/", ""},
		{"a.example", "/", ""},
		{"b.example", "/anything", "root"},
		{"b.example", "/%2F/..", "root"},
		{"c.example", "/x/", ""},
	}
	for _, request := range cases {
		matched := table.Match(request.host, request.path)
		if request.want == "" {
			g.Expect(matched).To(BeNil(), request.host+request.path)
			continue
		}
		g.Expect(matched).NotTo(BeNil(), request.host+request.path)
		g.Expect(matched.Name).To(Equal(request.want))
	}
}

func TestValidateNamesTheField(t *testing.T) {
	cases := []struct {
		field  string
		damage func(*route.Document)
	}{
		{"version", func(d *route.Document) { d.Version = 0 }},
		{"services", func(d *route.Document) { d.Services[0].Name = "" }},
		{"routes", func(d *route.Document) { d.Routes[0].Name = "" }},
		{"routes.short.host", func(d *route.Document) { d.Routes[0].Host = "" }},
		{"routes.short.pathPrefix", func(d *route.Document) { d.Routes[0].PathPrefix = "/x" }},
		{"routes.short.pathPrefix", func(d *route.Document) { d.Routes[0].PathPrefix = "x/" }},
		{"routes.long.pathPrefix", func(d *route.Document) { d.Routes[1].PathPrefix = "/x/" }},
		{"routes.short.attempts", func(d *route.Document) { d.Routes[0].Attempts = 0 }},
		{"routes.short.timeout", func(d *route.Document) { d.Routes[0].Timeout = -1 }},
		{"routes.short.targetLatency", func(d *route.Document) { d.Routes[0].TargetLatency = -1 }},
		{"routes.short.priority", func(d *route.Document) { d.Routes[0].Priority = -1 }},
		{"routes.short.targets", func(d *route.Document) { d.Routes[0].Targets[0].Service = "three" }},
		{"routes.short.targets", func(d *route.Document) { d.Routes[0].Targets[0].Weight = 0 }},
		{"routes.long.targets", func(d *route.Document) { d.Routes[1].Targets[1].Weight = -1 }},
		{"limits.bodyBytes", func(d *route.Document) { d.Limits.BodyBytes = -1 }},
		{"limits.headerBytes", func(d *route.Document) { d.Limits.HeaderBytes = -1 }},
		{"limits.headerTimeout", func(d *route.Document) { d.Limits.HeaderTimeout = -time.Second }},
		{"limits.idleTimeout", func(d *route.Document) { d.Limits.IdleTimeout = -time.Second }},
	}
	for _, broken := range cases {
		t.Run(broken.field, func(t *testing.T) {
			g := NewWithT(t)
			document := valid()
			broken.damage(document)
			_, err := route.Compile(document, nil)
			var wrong *route.FieldError
			g.Expect(errors.As(err, &wrong)).To(BeTrue())
			g.Expect(wrong.Field).To(Equal(broken.field))
			g.Expect(wrong.Reason).NotTo(BeEmpty())
		})
	}
}

// TestSplitKeepsShares checks the weights for few requests on many nodes, across versions that keep
// the split.
func TestSplitKeepsShares(t *testing.T) {
	g := NewWithT(t)
	second, requests := 0, 0
	for range 10 {
		var table *route.Table
		for version := uint64(1); version <= 10; version++ {
			document := valid()
			document.Version = version
			compiled, err := route.Compile(document, table)
			g.Expect(err).NotTo(HaveOccurred())
			table = compiled
			for range 3 {
				requests++
				if table.Match("a.example", "/x/y/").NextService() == "two" {
					second++
				}
			}
		}
	}
	g.Expect(float64(second) / float64(requests)).To(BeNumerically("~", 0.1, 0.04))
}

func TestSplitRunsAreEven(t *testing.T) {
	g := NewWithT(t)
	table, err := route.Compile(valid(), nil)
	g.Expect(err).NotTo(HaveOccurred())
	matched := table.Match("a.example", "/x/y/")
	for range 50 {
		second := 0
		for range 100 {
			if matched.NextService() == "two" {
				second++
			}
		}
		g.Expect(second).To(BeNumerically("~", 10, 2))
	}
}

func TestNilTable(t *testing.T) {
	g := NewWithT(t)
	var none *route.Table
	g.Expect(none.Version()).To(BeZero())
}
