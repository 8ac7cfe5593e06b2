package main

import (
	"path/filepath"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/kestrelstream/kestrelstream/internal/sidecar"
	"github.com/kestrelstream/kestrelstream/internal/sidecar/contention"
)

// TestFlagsOutliveAReload: settings that are read, at the start and again, get what the command line
// says, so that they do not differ in it from those in force.
func TestFlagsOutliveAReload(t *testing.T) {
	g := NewWithT(t)
	given := &flags{OverloadControl: "off", LendRepeats: true}
	for range 2 {
		loaded := &sidecar.Settings{}
		given.apply(loaded)
		g.Expect(loaded.OverloadControl).To(Equal(contention.Off))
		g.Expect(loaded.LendRepeats).To(BeTrue())
	}
	given.Settings = filepath.Join(t.TempDir(), "absent.json")
	_, err := given.load()
	g.Expect(err).To(HaveOccurred())
}
