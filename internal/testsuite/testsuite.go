// Package testsuite runs a package's ginkgo specs with what every suite of the
// project shares: a fixed seed, so that each run takes the same order, and waits
// for events that end only a test whose event never comes.
package testsuite

import (
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

// Seed orders the specs of every suite.
const Seed = 1

// EventTimeout is how long Eventually waits, on a busy machine too.
const EventTimeout = 30 * time.Second

// Run runs the specs of the package under test.
func Run(t *testing.T, name string) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	gomega.SetDefaultEventuallyTimeout(EventTimeout)
	suiteConfig, reporterConfig := ginkgo.GinkgoConfiguration()
	suiteConfig.RandomSeed = Seed
	ginkgo.RunSpecs(t, name, suiteConfig, reporterConfig)
}
