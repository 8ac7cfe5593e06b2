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
	given := &flags{OverloadControl: "off", LendRepeats: true, MaxAnswerBytes: 5 << 20}
	for range 2 {
		loaded := &sidecar.Settings{}
		given.apply(loaded)
		g.Expect(loaded.OverloadControl).To(Equal(contention.Off))
		g.Expect(loaded.LendRepeats).To(BeTrue())
		g.Expect(loaded.MaxAnswerBytes).To(BeEquivalentTo(5 << 20))
	}
	given.Settings = filepath.Join(t.TempDir(), "absent.json")
	_, err := given.load()
	g.Expect(err).To(HaveOccurred())
}

// TestInvalidMaxAnswerBytes guards against a bound that breaks off ordinary answers.
func TestInvalidMaxAnswerBytes(t *testing.T) {
	g := NewWithT(t)
	for _, invalid := range []int64{-1, 1, 1<<20 - 1} {
		_, err := (&flags{MaxAnswerBytes: invalid}).load()
		g.Expect(err).To(MatchError(ContainSubstring("--max-answer-bytes")))
	}
	for _, valid := range []int64{0, 1 << 20} {
		g.Expect((&flags{MaxAnswerBytes: valid}).validate()).To(Succeed())
	}
}
