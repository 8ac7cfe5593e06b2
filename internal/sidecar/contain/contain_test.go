package contain_test

import (
	"testing"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/kestrelstream/kestrelstream/internal/sidecar/contain"
)

// TestRun checks that a panic is returned as an error and logged, and that of many in quick
// succession not all are logged with a stack trace.
func TestRun(t *testing.T) {
	g := NewWithT(t)
	core, lines := observer.New(zap.ErrorLevel)
	logger := zap.New(core)

	g.Expect(contain.Run("record", logger, func() {})).To(Succeed())
	g.Expect(lines.All()).To(BeEmpty())

	const faults = 20
	for range faults {
		err := contain.Run("record", logger, func() { panic("a fault") })
		g.Expect(err).To(MatchError("step=record: panic: a fault"))
	}
	g.Expect(lines.FilterMessage("panic contained").All()).To(HaveLen(faults))
	g.Expect(lines.FilterFieldKey("stack").Len()).To(BeNumerically("<", faults))
	g.Expect(lines.FilterFieldKey("stack").Len()).To(BeNumerically(">=", 1))
}
