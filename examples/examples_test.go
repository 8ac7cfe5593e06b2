// Package examples_test checks every example file the way the programs do.
package examples_test

import (
	"errors"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/kestrelstream/kestrelstream/examples"
	"github.com/kestrelstream/kestrelstream/internal/projection"
	"github.com/kestrelstream/kestrelstream/internal/resource"
	"github.com/kestrelstream/kestrelstream/internal/settings"
	"github.com/kestrelstream/kestrelstream/internal/testsuite"
)

func TestExamples(t *testing.T) { testsuite.Run(t, "examples") }

// flagsFor checks a file with the certificate files it names replaced by ones
// that exist here.
func flagsFor(file string) settings.Flags {
	flags := settings.Flags{File: file, CheckSettings: true}
	content, err := os.ReadFile(file)
	Expect(err).NotTo(HaveOccurred())
	if strings.Contains(string(content), "plainHTTP: true") {
		return flags
	}
	for _, field := range []string{"certificateFile", "keyFile", "rootsFile"} {
		flags.Set = append(flags.Set, "identity."+field+"="+file)
	}
	return flags
}

var _ = Describe("the settings files", func() {
	files, err := filepath.Glob("*/settings/*.yaml")
	if err != nil || len(files) == 0 {
		panic("no settings files found")
	}
	for _, file := range files {
		It("accepts "+file, func() {
			var loadError error
			if strings.HasPrefix(filepath.Base(file), "kestreld") {
				_, loadError = (&settings.DaemonFlags{Flags: flagsFor(file)}).Load(io.Discard)
			} else {
				_, loadError = (&settings.ProxyFlags{Flags: flagsFor(file)}).Load(io.Discard)
			}
			Expect(errors.Is(loadError, settings.ErrDone)).To(BeTrue(), "got %v", loadError)
		})
	}
})

var _ = Describe("the resource files", func() {
	DescribeTable("are admitted as one batch and project to what their proxies need",
		func(deployment string, entitlement projection.Entitlement, services, routes int) {
			resources, err := examples.Resources(deployment)
			Expect(err).NotTo(HaveOccurred())
			batch := resource.Batch{Operation: resource.Operation{ID: "example"}}
			for _, declared := range resources {
				batch.Changes = append(batch.Changes, resource.Change{Action: resource.ActionPut, Resource: declared})
			}
			state, err := resource.Admit(resource.NewState(), batch)
			Expect(err).NotTo(HaveOccurred())
			snapshot := projection.Project(state, entitlement)
			Expect(snapshot.CheckReferences()).To(Succeed())
			Expect(snapshot.Services).To(HaveLen(services))
			Expect(snapshot.Routes).To(HaveLen(routes))
			for name, service := range snapshot.Services {
				Expect(service.AllowedZones).To(ContainElement(entitlement.Zone), name)
			}
		},
		Entry("drivers' apps", examples.EV, projection.Entitlement{Zone: "north", Services: []string{"driver-app"}}, 3, 5),
		Entry("session control", examples.EV, projection.Entitlement{Zone: "west", Services: []string{"session-control"}}, 3, 3),
		Entry("drivers' phones", examples.Depot, projection.Entitlement{Zone: "coast", Services: []string{"driver-phone"}}, 1, 2),
		Entry("clerks", examples.Depot, projection.Entitlement{Zone: "inland", Services: []string{"clerk"}}, 1, 2),
		Entry("dispatchers", examples.Depot, projection.Entitlement{Zone: "river", Services: []string{"dispatcher"}}, 3, 3),
		Entry("any caller", examples.Minimal, projection.Entitlement{Zone: "local"}, 1, 1),
	)

	It("never let a start, a stop or a confirmation be repeated", func() {
		for _, deployment := range []string{examples.EV, examples.Depot} {
			resources, err := examples.Resources(deployment)
			Expect(err).NotTo(HaveOccurred())
			for _, declared := range resources {
				if declared.Route != nil {
					Expect(declared.Route.RepeatableMethods).NotTo(ContainElement("POST"), declared.Metadata.Name)
				}
			}
		}
	})
})
